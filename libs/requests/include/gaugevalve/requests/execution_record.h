// What an agent remembers of one idempotency key.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/time.h"

namespace gaugevalve::requests {

// An idempotency key as the 128-bit hash of its service and its text, so that memory per key is
// fixed.
struct KeyDigest {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  // Returns the digest of a key as the caller sent it.
  static KeyDigest Of(base::ServiceId service, std::string_view key);

  friend auto operator<=>(const KeyDigest&, const KeyDigest&) = default;

  template <class HashState>
  friend HashState AbslHashValue(HashState state, const KeyDigest& key) {
    return HashState::combine(std::move(state), key.high, key.low);
  }
};

// How far a keyed request got, as the holder of the record knows.
enum class ExecutionState : std::uint8_t {
  kGranted,   // may run, or have run, at the executor
  kAnswered,  // ran; its answer's status is known
  kNotRun,    // the executor didn't run it under this grant and won't
  kUnknown,   // the executor can't tell whether it ran
};

// A small answer, kept so that a repeat gets the same one.
struct StoredAnswer {
  int status = 0;
  std::string content_type;
  std::string body;  // left out (empty) where it is longer than kMaxStoredBodyBytes

  friend bool operator==(const StoredAnswer&, const StoredAnswer&) = default;
};

inline constexpr std::size_t kMaxStoredBodyBytes = 256;

// A grant to run a request, unique in the service: one life of one agent, and its own count.
struct GrantId {
  base::NodeId executor;
  base::Incarnation incarnation;
  std::uint64_t number = 0;

  friend bool operator==(const GrantId&, const GrantId&) = default;
};

// What is known of one key. Two agents hold it from before the request runs.
struct ExecutionRecord {
  KeyDigest key;
  std::uint64_t fingerprint = 0;  // of method, path and body: a key is for one request
  GrantId grant;
  ExecutionState state = ExecutionState::kGranted;
  StoredAnswer answer;         // with kAnswered
  base::NodeId second_holder;  // who else was given the record; 0 where nobody was
  base::TimePoint first_recorded_at{};
};

}  // namespace gaugevalve::requests
