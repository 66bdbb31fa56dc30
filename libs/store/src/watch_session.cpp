#include "gaugevalve/store/watch_session.h"

#include <algorithm>
#include <utility>

namespace gaugevalve::store {

WatchSession::WatchSession(WatchSessionSettings settings, std::uint64_t seed)
    : settings_(std::move(settings)), random_(seed), backoff_(settings_.backoff) {}

void WatchSession::Start(base::TimePoint /*now*/) { Read(); }

void WatchSession::OnReadResult(const Result& result, base::TimePoint now) {
  if (state_ == State::kReading) {
    if (!result.IsOk()) {
      BackOff(NextStep::kRead, now);
      return;
    }
    const auto& response = result.Get<RangeResponse>();
    if (response.revision >= delivered_) {  // a lagging replica's older answer is left out
      delivered_ = response.revision;
      actions_.emplace_back(WatchSnapshot{response.revision, response.key_values});
    }
    Open();
    return;
  }
  if (!std::exchange(audit_running_, false) || state_ != State::kStreaming) {
    return;
  }
  ScheduleAudit(now);
  if (result.IsOk()) {
    OnAuditResult(result.Get<RangeResponse>());
  }
}

void WatchSession::OnStreamStarted(base::TimePoint now) {
  if (state_ == State::kWaitingToOpen) {
    state_ = State::kOpening;
    due_ = now + settings_.open_timeout;
  }
}

void WatchSession::OnFrame(const WatchFrame& frame, base::TimePoint now) {
  if (state_ != State::kOpening && state_ != State::kStreaming) {
    return;
  }
  if (frame.canceled) {
    actions_.emplace_back(CloseWatchStream{});
    const bool compacted = frame.compact_revision > base::Revision{};
    BackOff(compacted ? NextStep::kRead : NextStep::kOpen, now);
    return;
  }
  if (state_ == State::kOpening) {
    state_ = State::kStreaming;
    backoff_.Reset();
    ScheduleAudit(now);
  }
  DeliverChanges(frame);
}

void WatchSession::OnStreamClosed(base::TimePoint now) {
  if (state_ == State::kOpening || state_ == State::kStreaming) {
    BackOff(NextStep::kOpen, now);
  }
}

void WatchSession::Tick(base::TimePoint now) {
  if (now < due_) {
    return;
  }
  switch (state_) {
    case State::kIdle:
    case State::kReading:
    case State::kWaitingToOpen:
      return;
    case State::kOpening:
      actions_.emplace_back(CloseWatchStream{});
      BackOff(NextStep::kOpen, now);
      return;
    case State::kBackingOff:
      next_step_ == NextStep::kRead ? Read() : Open();
      return;
    case State::kStreaming:
      if (!std::exchange(audit_running_, true)) {
        actions_.emplace_back(
            ReadForWatch{{.key = settings_.key, .range_end = settings_.range_end}});
      }
      return;
  }
}

std::vector<WatchAction> WatchSession::TakeActions() { return std::exchange(actions_, {}); }

std::optional<base::TimePoint> WatchSession::NextDue() const {
  const bool waits_for_answer = state_ == State::kIdle || state_ == State::kReading ||
                                state_ == State::kWaitingToOpen ||
                                (state_ == State::kStreaming && audit_running_);
  return waits_for_answer ? std::nullopt : std::make_optional(due_);
}

void WatchSession::Read() {
  state_ = State::kReading;
  audit_running_ = false;
  actions_.emplace_back(ReadForWatch{{.key = settings_.key, .range_end = settings_.range_end}});
}

void WatchSession::Open() {
  state_ = State::kWaitingToOpen;
  audit_running_ = false;
  actions_.emplace_back(
      OpenWatchStream{{.key = settings_.key,
                       .range_end = settings_.range_end,
                       .start_revision = base::Revision{delivered_.value() + 1}}});
}

void WatchSession::BackOff(NextStep next_step, base::TimePoint now) {
  state_ = State::kBackingOff;
  next_step_ = next_step;
  due_ = now + backoff_.Next(random_);
}

void WatchSession::ScheduleAudit(base::TimePoint now) {
  const base::Duration half = settings_.audit_period / 2;
  due_ = now + half + random_.NextJitter(half);
}

void WatchSession::DeliverChanges(const WatchFrame& frame) {
  WatchChanges changes{delivered_, {}};
  for (const WatchEvent& event : frame.events) {
    if (event.key_value.mod_revision > delivered_) {
      changes.events.push_back(event);
      changes.revision = std::max(changes.revision, event.key_value.mod_revision);
    }
  }
  const bool is_progress = frame.events.empty() && !frame.created;
  if (is_progress) {
    changes.revision = std::max(changes.revision, frame.revision);
  }
  if (changes.revision > delivered_) {
    delivered_ = changes.revision;
    actions_.emplace_back(std::move(changes));
  }
}

void WatchSession::OnAuditResult(const RangeResponse& response) {
  if (response.revision <= delivered_) {
    return;
  }
  const bool stream_is_behind = std::ranges::any_of(
      response.key_values,
      [this](const KeyValue& key_value) { return key_value.mod_revision > delivered_; });
  // Delivered also when no key is newer, because a deletion leaves no key behind to show it.
  delivered_ = response.revision;
  actions_.emplace_back(WatchSnapshot{response.revision, response.key_values});
  if (stream_is_behind) {
    actions_.emplace_back(CloseWatchStream{});
    Open();
  }
}

}  // namespace gaugevalve::store
