#include "gaugevalve/store/watch_session.h"

#include <algorithm>
#include <utility>

namespace gaugevalve::store {
namespace {

// Returns by how much an event changes the number of keys.
std::int64_t KeyCountChange(const WatchEvent& event) {
  if (event.kind == WatchEventKind::kDelete) {
    return -1;
  }
  const bool is_new = event.key_value.version == 1;
  return is_new ? 1 : 0;
}

}  // namespace

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
      key_count_ = static_cast<std::int64_t>(response.key_values.size());
      actions_.emplace_back(WatchSnapshot{response.revision, response.key_values});
    }
    Open();
    return;
  }
  if (!std::exchange(audit_running_, false) || state_ != State::kStreaming) {
    return;
  }
  if (result.IsOk()) {
    OnAuditResult(result.Get<RangeResponse>(), now);
  } else {
    ScheduleAudit(now);
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
        Audit();
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
      key_count_ += KeyCountChange(event);
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

void WatchSession::Audit() {
  RangeRequest request{.key = settings_.key, .range_end = settings_.range_end};
  request.keys_only = true;
  request.min_mod_revision = base::Revision{delivered_.value() + 1};
  actions_.emplace_back(ReadForWatch{request});
}

void WatchSession::OnAuditResult(const RangeResponse& response, base::TimePoint now) {
  if (!IsBehind(response)) {
    suspected_.reset();
    ScheduleAudit(now);
    return;
  }
  if (suspected_ != delivered_) {
    suspected_ = delivered_;  // the change may be on its way: look again soon
    due_ = now + settings_.audit_grace;
    return;
  }
  suspected_.reset();
  actions_.emplace_back(CloseWatchStream{});
  Read();
}

bool WatchSession::IsBehind(const RangeResponse& response) const {
  if (response.revision < delivered_) {
    return false;  // a lagging replica's answer shows nothing
  }
  const bool has_newer_key = std::ranges::any_of(
      response.key_values,
      [this](const KeyValue& key_value) { return key_value.mod_revision > delivered_; });
  return has_newer_key || response.count != key_count_;  // a deletion leaves no key to see
}

}  // namespace gaugevalve::store
