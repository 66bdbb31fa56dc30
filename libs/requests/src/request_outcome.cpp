#include "gaugevalve/requests/request_outcome.h"

namespace gaugevalve::requests {
namespace {

constexpr int kConflict = 409;
constexpr int kUnprocessable = 422;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

}  // namespace

std::string_view OutcomeName(RequestOutcome outcome) {
  switch (outcome) {
    case RequestOutcome::kAnswered:
      return "answered";
    case RequestOutcome::kNotRun:
      return "not-run";
    case RequestOutcome::kOutcomeUnknown:
      return "unknown";
    case RequestOutcome::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

std::string_view ReasonName(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kQueueFull:
      return "queue-full";
    case RefusalReason::kDeadlineTooShort:
      return "deadline-too-short";
    case RefusalReason::kDeadlinePassed:
      return "deadline-passed";
    case RefusalReason::kBrownOut:
      return "brown-out";
    case RefusalReason::kDraining:
      return "draining";
    case RefusalReason::kEndpointDown:
      return "endpoint-down";
    case RefusalReason::kEndpointRefused:
      return "endpoint-refused";
    case RefusalReason::kStreamLimit:
      return "stream-limit";
    case RefusalReason::kKeyInProgress:
      return "key-in-progress";
    case RefusalReason::kKeyReused:
      return "key-reused";
    case RefusalReason::kKeyOwnerUnsettled:
      return "key-owner-unsettled";
    case RefusalReason::kKeyTableFull:
      return "key-table-full";
    case RefusalReason::kKeyForgotten:
      return "key-forgotten";
    case RefusalReason::kExecutorLost:
      return "executor-lost";
    case RefusalReason::kEndpointFailed:
      return "endpoint-failed";
    case RefusalReason::kDeadlineAfterStart:
      return "deadline-after-start";
  }
  return "other";
}

int HttpStatusOf(const Refusal& refusal) {
  switch (refusal.reason) {
    case RefusalReason::kKeyInProgress:
      return kConflict;
    case RefusalReason::kKeyReused:
      return kUnprocessable;
    case RefusalReason::kDeadlineAfterStart:
      return kGatewayTimeout;
    default:
      return refusal.outcome == RequestOutcome::kNotRun ? kUnavailable : kBadGateway;
  }
}

std::int64_t RetryAfterSeconds(const Refusal& refusal) {
  constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
  return (refusal.retry_after.count() + kMicrosecondsPerSecond - 1) / kMicrosecondsPerSecond;
}

}  // namespace gaugevalve::requests
