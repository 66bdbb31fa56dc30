// What the commands ask of the platform's store.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "gaugevalve/base/time.h"
#include "gaugevalve/settings/store_transaction.h"

namespace gaugevalve::ctl {

// What can be concluded from a request to the store.
enum class StoreOutcome : std::uint8_t {
  kOk,          // answered
  kNotApplied,  // certainly had no effect
  kUnknown,     // may have had its effect, or may have it later
};

// A key, or all keys that begin with it.
struct KeyRange {
  std::string key;
  bool is_prefix = false;
};

// The answer to a read.
struct ReadReply {
  StoreOutcome outcome = StoreOutcome::kNotApplied;
  std::string error;  // what went wrong, and what is certain of the store; empty when ok
  std::vector<settings::StoredEntry> entries;
};

// The answer to a transaction.
struct RunReply {
  StoreOutcome outcome = StoreOutcome::kNotApplied;
  std::string error;  // as in ReadReply
  settings::StoreTransactionAnswer answer;
};

// The store as the commands see it. Not thread-safe; calls wait.
class SettingsStore {
 public:
  virtual ~SettingsStore() = default;

  // Reads all ranges as of one instant.
  virtual ReadReply Read(const std::vector<KeyRange>& ranges, base::Duration timeout) = 0;

  // Does the transaction, at most once.
  virtual RunReply Run(const settings::StoreTransaction& transaction, base::Duration timeout) = 0;
};

}  // namespace gaugevalve::ctl
