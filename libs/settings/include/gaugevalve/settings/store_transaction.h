// The little that editing asks of a store: keys with the revision that last wrote them, and atomic
// compare-and-write transactions. Adapters map it to a store client; the proofs to a model.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "gaugevalve/base/strong_id.h"

namespace gaugevalve::settings {

// The store's revision of the last write to a key; 0 for a key that isn't there.
using ModRevision = base::StrongId<struct ModRevisionTag, std::uint64_t>;

// A key with its value.
struct StoredEntry {
  std::string key;
  std::string value;
  ModRevision mod_revision;

  friend bool operator==(const StoredEntry&, const StoredEntry&) = default;
};

// Holds when the key was last written at this revision.
struct KeyCondition {
  std::string key;
  ModRevision mod_revision;

  friend bool operator==(const KeyCondition&, const KeyCondition&) = default;
};

// A key and the value to write to it.
struct KeyWrite {
  std::string key;
  std::string value;

  friend bool operator==(const KeyWrite&, const KeyWrite&) = default;
};

// One atomic step: when all conditions hold, all writes and deletions are done; otherwise nothing
// is, and the keys of `reads_on_failure` are answered as of the same instant.
struct StoreTransaction {
  std::vector<KeyCondition> conditions;
  std::vector<KeyWrite> writes;
  std::vector<std::string> deletions;  // keys; one that isn't there is no fault
  std::vector<std::string> reads_on_failure;

  friend bool operator==(const StoreTransaction&, const StoreTransaction&) = default;
};

// The store's answer to a transaction.
struct StoreTransactionAnswer {
  bool succeeded = false;
  std::vector<StoredEntry> reads;  // those of reads_on_failure that exist; empty on success
};

}  // namespace gaugevalve::settings
