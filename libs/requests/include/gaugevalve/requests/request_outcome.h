// How a request ended, as its caller is told, and how that reads in HTTP.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <ostream>
#include <string_view>

#include "gaugevalve/base/time.h"

namespace gaugevalve::requests {

// A request's final outcome. kNotRun is a promise: no byte of it reached an endpoint, or the
// endpoint itself said by a published sign that it refused before running.
enum class RequestOutcome : std::uint8_t {
  kAnswered,        // the endpoint's own whole answer
  kNotRun,          // did not run and won't; may be repeated by anyone
  kOutcomeUnknown,  // may or may not have run
  kCancelled,       // the caller gave it up
};

// Why a request was not run, or why its outcome isn't known.
enum class RefusalReason : std::uint8_t {
  kQueueFull,           // the bounded queue is full of requests at least as urgent
  kDeadlineTooShort,    // it could not finish before its deadline
  kDeadlinePassed,      // its deadline passed while it waited
  kBrownOut,            // load is high and its urgency low
  kDraining,            // this agent takes no new requests
  kEndpointDown,        // no connection to the endpoint could be made
  kEndpointRefused,     // the endpoint shed it before running
  kStreamLimit,         // as many long-lived streams as the endpoint takes are open
  kKeyInProgress,       // a request with this idempotency key is being run now
  kKeyReused,           // this idempotency key came with another request before
  kKeyOwnerUnsettled,   // who arbitrates the key is being settled
  kKeyTableFull,        // no room to remember another key
  kKeyForgotten,        // what was known of this key is lost
  kExecutorLost,        // the agent that ran it is gone
  kEndpointFailed,      // the connection broke after the first byte was sent
  kDeadlineAfterStart,  // the deadline passed after it was sent to the endpoint
};

// Number of values of RefusalReason, which count from 0.
inline constexpr std::size_t kRefusalReasonCount =
    static_cast<std::size_t>(RefusalReason::kDeadlineAfterStart) + 1;

// What the caller of a refused request is sent, at once.
struct Refusal {
  RequestOutcome outcome = RequestOutcome::kNotRun;
  RefusalReason reason = RefusalReason::kQueueFull;
  base::Duration retry_after{0};  // when to come back; 0 gives no hint
};

// The response header that names the outcome in every answer which isn't the endpoint's own.
inline constexpr std::string_view kOutcomeHeader = "gaugevalve-outcome";

// Returns the outcome's name in logs, metrics and kOutcomeHeader, as "not-run".
std::string_view OutcomeName(RequestOutcome outcome);

// Returns the reason's name in logs and metrics, as "queue-full".
std::string_view ReasonName(RefusalReason reason);

// Returns the HTTP status (RFC 9110; 409 and 422 as in the Idempotency-Key draft) of a refusal.
int HttpStatusOf(const Refusal& refusal);

// Returns the whole seconds of the Retry-After header (RFC 9110), rounded up; 0 means none.
std::int64_t RetryAfterSeconds(const Refusal& refusal);

inline std::ostream& operator<<(std::ostream& stream, RequestOutcome outcome) {
  return stream << OutcomeName(outcome);
}

inline std::ostream& operator<<(std::ostream& stream, RefusalReason reason) {
  return stream << ReasonName(reason);
}

}  // namespace gaugevalve::requests
