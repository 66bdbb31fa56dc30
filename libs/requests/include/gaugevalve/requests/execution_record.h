// The record that an agent keeps of one idempotency key.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/time.h"

namespace gaugevalve::requests {

// An idempotency key as a 128-bit hash of its service and its text, so that the memory per key is
// fixed.
struct KeyDigest {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  // Returns the digest of a key in the form in which the caller sent it.
  static KeyDigest Of(base::ServiceId service, std::string_view key);

  friend auto operator<=>(const KeyDigest&, const KeyDigest&) = default;

  template <class HashState>
  friend HashState AbslHashValue(HashState state, const KeyDigest& key) {
    return HashState::combine(std::move(state), key.high, key.low);
  }
};

// Progress of a keyed request, as known to the holder of the record.
enum class ExecutionState : std::uint8_t {
  kGranted,   // may run, or may have run, at the executor
  kAnswered,  // executed; the status of its answer is known
  kNotRun,    // the executor did not run it and will not run it under this grant
  kUnknown,   // the executor cannot tell whether it ran
};

// A small answer, stored so that a repeated request receives the same answer.
struct StoredAnswer {
  int status = 0;
  std::string content_type;
  std::string body;  // empty if it is longer than kMaxStoredBodyBytes

  friend bool operator==(const StoredAnswer&, const StoredAnswer&) = default;
};

inline constexpr std::size_t kMaxStoredBodyBytes = 256;

// A grant to run a request, unique in the service: an incarnation of an agent and its own counter.
struct GrantId {
  base::NodeId executor;
  base::Incarnation incarnation;
  std::uint64_t number = 0;

  friend bool operator==(const GrantId&, const GrantId&) = default;
};

// The record of one key. Two agents hold it before the request runs.
struct ExecutionRecord {
  KeyDigest key;
  std::uint64_t fingerprint = 0;  // hash of method, path and body; a key is for one request
  GrantId grant;
  ExecutionState state = ExecutionState::kGranted;
  StoredAnswer answer;         // with kAnswered
  base::NodeId second_holder;  // the other agent that holds the record; 0 if there is none
  base::TimePoint first_recorded_at{};
};

}  // namespace gaugevalve::requests
