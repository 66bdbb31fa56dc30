// How a request to the store ended, in the three ways that matter to its caller.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "gaugevalve/store/response.h"

namespace gaugevalve::store {

// What the caller may conclude about the store's state.
enum class Outcome : std::uint8_t {
  kOk,       // answered; the response says what happened
  kRefused,  // definitely not applied
  kUnknown,  // may have been applied, now or still to come: find out by reading
};

// Why a request did not succeed.
enum class Reason : std::uint8_t {
  kNone,
  kUnreachable,     // no connection could be made
  kRateLimited,     // the store answered 429
  kNotFound,        // no such lease
  kCompacted,       // the revision asked for is compacted away
  kInvalid,         // the store found fault with the request
  kQueueFull,       // too many requests wait in this process
  kDeadline,        // the caller's deadline passed
  kConnectionLost,  // the connection broke before the answer was complete
  kServerError,     // the store answered with an error of its own
  kBadAnswer,       // the answer could not be read
};

// Returns the reason in words, as in "rate limited by the store".
const char* Describe(Reason reason);

// The end of one request.
struct Result {
  Outcome outcome = Outcome::kRefused;
  Reason reason = Reason::kNone;
  std::string words;  // for people; empty when ok
  Response response;  // set only when ok

  bool IsOk() const { return outcome == Outcome::kOk; }

  // Returns the response as `T`; throws std::bad_variant_access when it is another kind's.
  template <class T>
  const T& Get() const {
    return std::get<T>(response);
  }

  static Result Ok(Response response);
  static Result Failed(Outcome outcome, Reason reason, const std::string& detail);
};

}  // namespace gaugevalve::store
