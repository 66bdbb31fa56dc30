// Outcome of a request as reported to its caller, and its mapping to HTTP.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <ostream>
#include <string_view>

#include "gaugevalve/base/time.h"

namespace gaugevalve::requests {

// Final outcome of a request. kNotRun guarantees that no byte of it reached an endpoint, or that
// the endpoint itself reported, by a documented signal, that it refused before running.
enum class RequestOutcome : std::uint8_t {
  kAnswered,        // the endpoint's own complete answer
  kNotRun,          // did not run and will not run; any caller may repeat it
  kOutcomeUnknown,  // may or may not have run
  kCancelled,       // cancelled by the caller
};

// Why a request was not run, or why its outcome is unknown.
enum class RefusalReason : std::uint8_t {
  kQueueFull,           // the bounded queue is full of requests at least as urgent
  kDeadlineTooShort,    // it could not finish before its deadline
  kDeadlinePassed,      // its deadline passed while it waited
  kBrownOut,            // the load is high and the request's urgency is low
  kDraining,            // this agent accepts no new requests
  kEndpointDown,        // no connection to the endpoint could be made
  kEndpointRefused,     // the endpoint refused it before running it
  kStreamLimit,         // the endpoint's limit of long-lived streams is reached
  kKeyInProgress,       // a request with this idempotency key is running
  kKeyReused,           // this idempotency key was used with a different request
  kKeyOwnerUnsettled,   // the key has no owner yet that has collected all records
  kKeyTableFull,        // the table of keys is full
  kKeyForgotten,        // records that may have included this key are lost
  kExecutorLost,        // the agent that ran it was lost
  kEndpointFailed,      // the connection broke after the first byte was sent
  kDeadlineAfterStart,  // the deadline passed after it was sent to the endpoint
};

// Number of values of RefusalReason, which start at 0.
inline constexpr std::size_t kRefusalReasonCount =
    static_cast<std::size_t>(RefusalReason::kDeadlineAfterStart) + 1;

// What the caller of a refused request is told immediately.
struct Refusal {
  RequestOutcome outcome = RequestOutcome::kNotRun;
  RefusalReason reason = RefusalReason::kQueueFull;
  base::Duration retry_after{0};  // when to retry; 0 gives no hint
};

// Response header that names the outcome in every answer that is not the endpoint's own.
inline constexpr std::string_view kOutcomeHeader = "gaugevalve-outcome";

// Returns the name of the outcome in logs, metrics and kOutcomeHeader, such as "not-run".
std::string_view OutcomeName(RequestOutcome outcome);

// Returns the name of the reason in logs and metrics, such as "queue-full".
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
