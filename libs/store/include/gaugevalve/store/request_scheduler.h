// Decides when which request goes to the store, and what its end means to the caller.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "gaugevalve/base/random_source.h"
#include "gaugevalve/base/strong_id.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/http_client/http_types.h"
#include "gaugevalve/store/backoff.h"
#include "gaugevalve/store/codec.h"
#include "gaugevalve/store/request.h"
#include "gaugevalve/store/result.h"
#include "gaugevalve/store/retry_budget.h"
#include "gaugevalve/store/token_bucket.h"

namespace gaugevalve::store {

// A caller's request, unique within one scheduler.
using RequestId = base::StrongId<struct RequestIdTag, std::uint64_t>;

// One posting of a request; a retry is another attempt.
using AttemptId = base::StrongId<struct AttemptIdTag, std::uint64_t>;

// Limits of one node's traffic to the store.
struct SchedulerSettings {
  // The node's share of the deployment's rate budget. The store limits the deployment as a whole,
  // so the shares of all nodes that talk to it must add up to less than its limit.
  double requests_per_second = 5;
  double burst = 5;
  BackoffSettings backoff;
  RetryBudgetSettings retry_budget;
  base::Duration attempt_timeout = std::chrono::seconds(5);
  std::size_t queue_limit = 256;  // waiting and running requests; more are refused
  std::size_t concurrent_attempts = 4;
};

// Post this. The shell answers with OnAnswer() or OnAttemptFailed().
struct SendAttempt {
  AttemptId attempt;
  EncodedRequest encoded;
};

// Stop waiting for this attempt; no more is to be reported about it.
struct CancelAttempt {
  AttemptId attempt;
};

// Tell the caller.
struct CompleteRequest {
  RequestId request;
  Result result;
};

using SchedulerAction = std::variant<SendAttempt, CancelAttempt, CompleteRequest>;

// Pure core of the store client; not thread-safe.
//
// - A token bucket bounds the attempts per second; lease renewals go first, then writes, reads
// last.
// - Identical reads that wait share one attempt. A read that was already sent is shared only when
//   both are serializable: its answer may be older than what the second caller has seen.
// - Failures that are the store's (unreachable, 429, 5xx) hold back all requests for a delay with
//   full jitter. Retries come out of a retry budget; without it the request ends.
// - Retried are requests that certainly weren't applied, and repeatable ones. A write whose answer
//   is lost ends as Outcome::kUnknown and is never sent again from here.
// - When `queue_limit` requests are held, a new one ends at once as refused (Reason::kQueueFull).
class RequestScheduler {
 public:
  RequestScheduler(const SchedulerSettings& settings, std::uint64_t seed);

  // Takes a request. It ends, whatever happens, at `deadline` at the latest.
  RequestId Submit(Request request, base::TimePoint deadline, base::TimePoint now);

  // Reports the whole answer to an attempt. Unknown attempts are ignored.
  void OnAnswer(AttemptId attempt, const http_client::HttpAnswer& answer, base::TimePoint now);

  // Reports that an attempt failed without a whole answer. Unknown attempts are ignored.
  void OnAttemptFailed(AttemptId attempt, http_client::TransportFailure failure,
                       const std::string& words, base::TimePoint now);

  // Takes a token of the budget for opening a stream and returns when it may be opened.
  base::TimePoint ReserveStreamOpening(base::TimePoint now);

  // Does what is due.
  void Tick(base::TimePoint now);

  // Returns the actions decided since the last call, in order.
  std::vector<SchedulerAction> TakeActions();

  // Returns when Tick() is next needed; nothing while no request is held.
  std::optional<base::TimePoint> NextDue(base::TimePoint now);

  // Returns the number of requests held.
  std::size_t PendingCount() const { return pending_.size(); }

 private:
  struct Waiter {
    RequestId request;
    base::TimePoint deadline;
  };

  struct Pending {
    Request request;
    EncodedRequest encoded;
    std::vector<Waiter> waiters;
    std::optional<AttemptId> attempt;  // set while one is running
    base::TimePoint attempt_deadline{};
    int attempts = 0;
    Outcome earlier_outcome = Outcome::kRefused;  // what the failed attempts may have done
  };

  using Sequence = std::uint64_t;
  using PendingMap = std::map<Sequence, Pending>;

  Pending* FindShareable(const Request& request, const EncodedRequest& encoded);
  PendingMap::iterator FindAttempt(AttemptId attempt);
  PendingMap::iterator FindNextToSend();
  void ExpireWaiters(base::TimePoint now);
  void ExpireAttempts(base::TimePoint now);
  void StartAttempts(base::TimePoint now);
  void Start(Pending& pending, base::TimePoint now);
  void HoldBack(std::optional<base::Duration> at_least, base::TimePoint now);
  void RetryOrEnd(PendingMap::iterator position, Result failure, base::TimePoint now);
  void End(PendingMap::iterator position, const Result& result);

  SchedulerSettings settings_;
  base::RandomSource random_;
  TokenBucket rate_;
  RetryBudget retry_budget_;
  Backoff backoff_;
  base::TimePoint held_back_until_{};
  PendingMap pending_;
  std::size_t running_attempts_ = 0;
  std::uint64_t next_request_ = 1;
  std::uint64_t next_attempt_ = 1;
  Sequence next_sequence_ = 1;
  std::vector<SchedulerAction> actions_;
};

}  // namespace gaugevalve::store
