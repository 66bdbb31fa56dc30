#include "gaugevalve/requests/admission_queue.h"

#include <algorithm>

namespace gaugevalve::requests {
namespace {

// A sample has a weight of 1/8 in the smoothed service time, as in TCP's smoothed round-trip time
// (RFC 6298).
constexpr std::int64_t kSmoothingDivisor = 8;

// With a shorter hint, refused callers would return during the same overload.
constexpr base::Duration kMinRetryAfter{1'000'000};

}  // namespace

AdmissionQueue::AdmissionQueue(const AdmissionLimits& limits, base::RandomSource& random)
    : limits_(limits), random_(random), service_time_(limits.expected_service_time) {}

AdmissionActions AdmissionQueue::Submit(const AdmissionRequest& request, base::TimePoint now) {
  AdmissionActions actions;
  RefuseUnmeetableDeadlines(now, actions);
  UpdateBrownOut();
  const auto place = std::find_if(waiting_.begin(), waiting_.end(),
                                  [&](const auto& other) { return HasPrecedence(request, other); });
  const auto position = static_cast<std::size_t>(place - waiting_.begin());
  const std::optional<RefusalReason> reason = ReasonToRefuse(request, position, now);
  if (reason) {
    actions.refused.push_back({request.id, MakeRefusal(*reason)});
    return actions;
  }
  waiting_.insert(place, request);
  FillSlots(now, actions);
  RefuseExcess(actions);
  return actions;
}

std::optional<Refusal> AdmissionQueue::OpenStream(RequestId id) {
  if (draining_) {
    return MakeRefusal(RefusalReason::kDraining);
  }
  if (streams_.size() >= limits_.streams) {
    return MakeRefusal(RefusalReason::kStreamLimit);
  }
  streams_.insert(id);
  return std::nullopt;
}

void AdmissionQueue::CloseStream(RequestId id) { streams_.erase(id); }

AdmissionActions AdmissionQueue::Finish(RequestId id, bool counts_as_sample, base::TimePoint now) {
  AdmissionActions actions;
  const auto found = running_.find(id);
  if (found == running_.end()) {
    return actions;
  }
  if (counts_as_sample) {
    service_time_ += (now - found->second - service_time_) / kSmoothingDivisor;
  }
  running_.erase(found);
  FillSlots(now, actions);
  RefuseUnmeetableDeadlines(now, actions);
  return actions;
}

bool AdmissionQueue::CancelWaiting(RequestId id) {
  return std::erase_if(waiting_, [&](const auto& request) { return request.id == id; }) > 0;
}

AdmissionActions AdmissionQueue::OnTimer(base::TimePoint now) {
  AdmissionActions actions;
  RefuseUnmeetableDeadlines(now, actions);
  FillSlots(now, actions);
  return actions;
}

std::optional<base::TimePoint> AdmissionQueue::NextDeadline() const {
  const auto first = std::min_element(
      waiting_.begin(), waiting_.end(),
      [](const auto& left, const auto& right) { return left.deadline < right.deadline; });
  if (first == waiting_.end()) {
    return std::nullopt;
  }
  return first->deadline - service_time_;
}

AdmissionActions AdmissionQueue::SetLimits(const AdmissionLimits& limits, base::TimePoint now) {
  limits_ = limits;
  AdmissionActions actions;
  FillSlots(now, actions);
  RefuseExcess(actions);
  return actions;
}

// A slot becomes free every service_time / slots on average; requests ahead in the queue take the
// first ones.
base::Duration AdmissionQueue::EstimatedWaitAt(std::size_t position) const {
  const std::size_t slots = std::max<std::size_t>(limits_.slots, 1);
  const std::size_t free_slots = slots - std::min(slots, running_.size());
  if (position < free_slots) {
    return base::Duration(0);
  }
  const auto slots_to_free = static_cast<std::int64_t>(position - free_slots + 1);
  return service_time_ * slots_to_free / static_cast<std::int64_t>(slots);
}

bool AdmissionQueue::HasPrecedence(const AdmissionRequest& left,
                                   const AdmissionRequest& right) const {
  if (left.urgency != right.urgency) {
    return left.urgency < right.urgency;
  }
  return left.deadline < right.deadline;
}

bool AdmissionQueue::CanFinishInTime(const AdmissionRequest& request, std::size_t position,
                                     base::TimePoint now) const {
  return now + EstimatedWaitAt(position) + service_time_ <= request.deadline;
}

std::optional<RefusalReason> AdmissionQueue::ReasonToRefuse(const AdmissionRequest& request,
                                                            std::size_t position,
                                                            base::TimePoint now) const {
  if (draining_) {
    return RefusalReason::kDraining;
  }
  if (request.deadline <= now) {
    return RefusalReason::kDeadlinePassed;
  }
  if (!CanFinishInTime(request, position, now)) {
    return RefusalReason::kDeadlineTooShort;
  }
  const std::size_t free_slots =
      limits_.slots - std::min<std::size_t>(limits_.slots, running_.size());
  const std::size_t max_waiting = free_slots + limits_.queue_length;
  if (position >= max_waiting) {
    return RefusalReason::kQueueFull;
  }
  if (in_brown_out_ && request.urgency > limits_.brown_out_urgency) {
    return RefusalReason::kBrownOut;
  }
  return std::nullopt;
}

// Two thresholds (hysteresis) avoid rapid switching around a single one.
void AdmissionQueue::UpdateBrownOut() {
  const double capacity = limits_.slots + limits_.queue_length;
  const double in_use = static_cast<double>(running_.size() + waiting_.size());
  const double share = capacity > 0 ? in_use / capacity : 1.0;
  const bool stays = in_brown_out_ && share >= limits_.brown_out_leave;
  in_brown_out_ = limits_.brown_out_enter < 1.0 && (stays || share >= limits_.brown_out_enter);
}

Refusal AdmissionQueue::MakeRefusal(RefusalReason reason) {
  // The queue empties in about EstimatedWait(). The jitter spreads the retries of refused callers
  // over the same time again.
  const base::Duration base_wait = std::max(EstimatedWait(), kMinRetryAfter);
  return {RequestOutcome::kNotRun, reason, base_wait + random_.NextJitter(base_wait)};
}

void AdmissionQueue::FillSlots(base::TimePoint now, AdmissionActions& actions) {
  std::size_t taken = 0;
  while (taken < waiting_.size() && running_.size() < limits_.slots) {
    const AdmissionRequest& request = waiting_[taken];
    ++taken;
    if (!CanFinishInTime(request, 0, now)) {
      actions.refused.push_back({request.id, MakeRefusal(RefusalReason::kDeadlinePassed)});
      continue;
    }
    running_.emplace(request.id, now);
    actions.start.push_back(request.id);
  }
  waiting_.erase(waiting_.begin(), waiting_.begin() + static_cast<std::ptrdiff_t>(taken));
}

void AdmissionQueue::RefuseUnmeetableDeadlines(base::TimePoint now, AdmissionActions& actions) {
  std::size_t kept = 0;
  for (std::size_t index = 0; index < waiting_.size(); ++index) {
    if (CanFinishInTime(waiting_[index], kept, now)) {
      waiting_[kept] = waiting_[index];
      ++kept;
    } else {
      actions.refused.push_back({waiting_[index].id, MakeRefusal(RefusalReason::kDeadlinePassed)});
    }
  }
  waiting_.resize(kept);
}

void AdmissionQueue::RefuseExcess(AdmissionActions& actions) {
  while (waiting_.size() > limits_.queue_length) {
    actions.refused.push_back({waiting_.back().id, MakeRefusal(RefusalReason::kQueueFull)});
    waiting_.pop_back();
  }
}

}  // namespace gaugevalve::requests
