#include "gaugevalve/store/request_scheduler.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace gaugevalve::store {
namespace {

using http_client::HttpAnswer;
using http_client::TransportFailure;

constexpr int kHttpOk = 200;
constexpr int kHttpTooManyRequests = 429;
constexpr int kHttpFirstServerError = 500;

// Order in which waiting requests go; the smaller first.
enum class Priority : std::uint8_t { kLease = 0, kWrite = 1, kRead = 2 };

Priority PriorityOf(const Request& request) {
  if (std::holds_alternative<LeaseKeepAliveRequest>(request)) {
    return Priority::kLease;
  }
  return ChangesStore(request) ? Priority::kWrite : Priority::kRead;
}

// A read has no effect that could be unknown.
Outcome OutcomeWhenMaybeSent(const Request& request) {
  return ChangesStore(request) ? Outcome::kUnknown : Outcome::kRefused;
}

Result ClassifyError(const Request& request, const HttpAnswer& answer) {
  const ErrorAnswer error = DecodeErrorAnswer(answer.body);
  const auto code = static_cast<StatusCode>(error.code);
  if (answer.status == kHttpTooManyRequests || code == StatusCode::kResourceExhausted) {
    return Result::Failed(Outcome::kRefused, Reason::kRateLimited, error.message);
  }
  if (answer.status >= kHttpFirstServerError || answer.status < kHttpOk) {
    // "Unavailable" and time-outs included: the store may have passed the write on before.
    return Result::Failed(OutcomeWhenMaybeSent(request), Reason::kServerError, error.message);
  }
  if (code == StatusCode::kNotFound) {
    return Result::Failed(Outcome::kRefused, Reason::kNotFound, error.message);
  }
  if (code == StatusCode::kOutOfRange) {
    return Result::Failed(Outcome::kRefused, Reason::kCompacted, error.message);
  }
  return Result::Failed(Outcome::kRefused, Reason::kInvalid, error.message);
}

Result Classify(const Request& request, const HttpAnswer& answer) {
  if (answer.status != kHttpOk) {
    return ClassifyError(request, answer);
  }
  try {
    return Result::Ok(DecodeResponse(request, answer.body));
  } catch (const base::FindingsError& error) {
    return Result::Failed(OutcomeWhenMaybeSent(request), Reason::kBadAnswer, error.what());
  }
}

// Failures that say something about the store rather than about the request.
bool IsStoreFailure(Reason reason) {
  return reason == Reason::kRateLimited || reason == Reason::kUnreachable ||
         reason == Reason::kServerError || reason == Reason::kConnectionLost ||
         reason == Reason::kBadAnswer || reason == Reason::kDeadline;
}

}  // namespace

RequestScheduler::RequestScheduler(const SchedulerSettings& settings, std::uint64_t seed)
    : settings_(settings),
      random_(seed),
      rate_(settings.requests_per_second, settings.burst),
      retry_budget_(settings.retry_budget),
      backoff_(SpreadBackoff(settings.backoff, settings.requests_per_second)) {}

RequestId RequestScheduler::Submit(Request request, base::TimePoint deadline, base::TimePoint now) {
  const RequestId id{next_request_++};
  EncodedRequest encoded = EncodeRequest(request);
  if (Pending* shared = FindShareable(request, encoded)) {
    shared->waiters.push_back({id, deadline});
  } else if (pending_.size() >= settings_.queue_limit) {
    actions_.emplace_back(
        CompleteRequest{id, Result::Failed(Outcome::kRefused, Reason::kQueueFull, "")});
  } else {
    Pending pending;
    pending.request = std::move(request);
    pending.encoded = std::move(encoded);
    pending.waiters.push_back({id, deadline});
    pending_.emplace(next_sequence_++, std::move(pending));
  }
  Tick(now);
  return id;
}

void RequestScheduler::OnAnswer(AttemptId attempt, const HttpAnswer& answer, base::TimePoint now) {
  const auto position = FindAttempt(attempt);
  if (position == pending_.end()) {
    return;
  }
  --running_attempts_;
  position->second.attempt.reset();
  Result result = Classify(position->second.request, answer);
  if (IsStoreFailure(result.reason)) {
    HoldBack(answer.retry_after, now);
    RetryOrEnd(position, std::move(result), now);
  } else {
    backoff_.Reset();
    End(position, result);
  }
  Tick(now);
}

void RequestScheduler::OnAttemptFailed(AttemptId attempt, TransportFailure failure,
                                       const std::string& words, base::TimePoint now) {
  const auto position = FindAttempt(attempt);
  if (position == pending_.end()) {
    return;
  }
  --running_attempts_;
  position->second.attempt.reset();
  HoldBack(std::nullopt, now);
  if (failure == TransportFailure::kNotSent) {
    RetryOrEnd(position, Result::Failed(Outcome::kRefused, Reason::kUnreachable, words), now);
  } else {
    const Outcome outcome = OutcomeWhenMaybeSent(position->second.request);
    RetryOrEnd(position, Result::Failed(outcome, Reason::kConnectionLost, words), now);
  }
  Tick(now);
}

base::TimePoint RequestScheduler::ReserveStreamOpening(base::TimePoint now) {
  return std::max(held_back_until_, rate_.Reserve(now));
}

void RequestScheduler::Tick(base::TimePoint now) {
  ExpireWaiters(now);
  ExpireAttempts(now);
  StartAttempts(now);
}

std::vector<SchedulerAction> RequestScheduler::TakeActions() { return std::exchange(actions_, {}); }

std::optional<base::TimePoint> RequestScheduler::NextDue(base::TimePoint now) {
  std::optional<base::TimePoint> due;
  const auto include = [&due](base::TimePoint time) { due = due ? std::min(*due, time) : time; };
  bool waiting = false;
  for (const auto& [sequence, pending] : pending_) {
    for (const Waiter& waiter : pending.waiters) {
      include(waiter.deadline);
    }
    if (pending.attempt) {
      include(pending.attempt_deadline);
    } else {
      waiting = true;
    }
  }
  if (waiting && running_attempts_ < settings_.concurrent_attempts) {
    include(std::max(held_back_until_, rate_.AvailableAt(now)));
  }
  return due;
}

RequestScheduler::Pending* RequestScheduler::FindShareable(const Request& request,
                                                           const EncodedRequest& encoded) {
  const auto* range = std::get_if<RangeRequest>(&request);
  if (range == nullptr) {
    return nullptr;
  }
  for (auto& [sequence, pending] : pending_) {
    const bool may_share = !pending.attempt || range->serializable;
    if (may_share && pending.encoded == encoded) {
      return &pending;
    }
  }
  return nullptr;
}

RequestScheduler::PendingMap::iterator RequestScheduler::FindAttempt(AttemptId attempt) {
  return std::ranges::find_if(pending_,
                              [&](const auto& entry) { return entry.second.attempt == attempt; });
}

RequestScheduler::PendingMap::iterator RequestScheduler::FindNextToSend() {
  auto best = pending_.end();
  for (auto position = pending_.begin(); position != pending_.end(); ++position) {
    if (position->second.attempt) {
      continue;
    }
    if (best == pending_.end() ||
        PriorityOf(position->second.request) < PriorityOf(best->second.request)) {
      best = position;
    }
  }
  return best;
}

void RequestScheduler::ExpireWaiters(base::TimePoint now) {
  for (auto position = pending_.begin(); position != pending_.end();) {
    Pending& pending = position->second;
    const bool maybe_sent = pending.attempt || pending.earlier_outcome == Outcome::kUnknown;
    const Outcome outcome = maybe_sent ? OutcomeWhenMaybeSent(pending.request) : Outcome::kRefused;
    std::erase_if(pending.waiters, [&](const Waiter& waiter) {
      if (waiter.deadline > now) {
        return false;
      }
      actions_.emplace_back(
          CompleteRequest{waiter.request, Result::Failed(outcome, Reason::kDeadline, "")});
      return true;
    });
    if (!pending.waiters.empty()) {
      ++position;
      continue;
    }
    if (pending.attempt) {
      actions_.emplace_back(CancelAttempt{*pending.attempt});
      --running_attempts_;
      HoldBack(std::nullopt, now);
    }
    position = pending_.erase(position);
  }
}

void RequestScheduler::ExpireAttempts(base::TimePoint now) {
  for (auto position = pending_.begin(); position != pending_.end();) {
    const auto current = position++;
    Pending& pending = current->second;
    if (!pending.attempt || pending.attempt_deadline > now) {
      continue;
    }
    actions_.emplace_back(CancelAttempt{*pending.attempt});
    --running_attempts_;
    pending.attempt.reset();
    HoldBack(std::nullopt, now);
    const Outcome outcome = OutcomeWhenMaybeSent(pending.request);
    RetryOrEnd(current, Result::Failed(outcome, Reason::kDeadline, "no answer"), now);
  }
}

void RequestScheduler::StartAttempts(base::TimePoint now) {
  while (running_attempts_ < settings_.concurrent_attempts && now >= held_back_until_) {
    const auto next = FindNextToSend();
    if (next == pending_.end() || !rate_.TryTake(now)) {
      return;
    }
    Start(next->second, now);
  }
}

void RequestScheduler::Start(Pending& pending, base::TimePoint now) {
  if (pending.attempts == 0) {
    retry_budget_.OnFirstAttempt(now);
  }
  ++pending.attempts;
  ++running_attempts_;
  pending.attempt = AttemptId{next_attempt_++};
  pending.attempt_deadline = now + settings_.attempt_timeout;
  actions_.emplace_back(SendAttempt{*pending.attempt, pending.encoded});
}

void RequestScheduler::HoldBack(std::optional<base::Duration> at_least, base::TimePoint now) {
  if (now < held_back_until_ && !at_least) {
    return;  // attempts that failed together are one failure
  }
  const base::Duration asked_for = at_least.value_or(base::Duration::zero());
  const base::Duration longest = std::min(asked_for, settings_.backoff.cap);
  held_back_until_ = std::max(held_back_until_, now + longest + backoff_.Next(random_));
}

void RequestScheduler::RetryOrEnd(PendingMap::iterator position, Result failure,
                                  base::TimePoint now) {
  Pending& pending = position->second;
  if (pending.earlier_outcome == Outcome::kUnknown) {
    failure.outcome = Outcome::kUnknown;  // this attempt's refusal says nothing about the earlier
  }
  pending.earlier_outcome = failure.outcome;
  const bool may_retry = failure.outcome == Outcome::kRefused || IsRepeatable(pending.request);
  if (!may_retry || !retry_budget_.TryRetry(now)) {
    End(position, failure);
  }
}

void RequestScheduler::End(PendingMap::iterator position, const Result& result) {
  for (const Waiter& waiter : position->second.waiters) {
    actions_.emplace_back(CompleteRequest{waiter.request, result});
  }
  pending_.erase(position);
}

}  // namespace gaugevalve::store
