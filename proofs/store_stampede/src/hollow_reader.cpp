#include "hollow_reader.h"

#include <algorithm>
#include <string>

namespace gaugevalve::proofs {
namespace {

constexpr base::Duration kRoundTrip = std::chrono::milliseconds(2);
constexpr base::Duration kReadTimeout = std::chrono::seconds(10);  // as the shell's

http_client::HttpAnswer ToHttpAnswer(HollowAnswer answer, base::Revision revision) {
  if (answer == HollowAnswer::kRateLimited) {
    return {429, "", std::chrono::seconds(1)};
  }
  return {200, R"({"header":{"revision":")" + std::to_string(revision.value()) + R"("}})"};
}

// Returns the first frame of a stream that asks for the changes from `start` on.
store::WatchFrame FirstFrame(base::Revision start, const HollowStore& store) {
  store::WatchFrame frame;
  frame.canceled = start < store.Revision();
  frame.created = !frame.canceled;
  frame.compact_revision = frame.canceled ? store.Revision() : base::Revision{};
  return frame;
}

}  // namespace

HollowReader::HollowReader(simulation::EventQueue& queue, HollowStore& store,
                           const store::SchedulerSettings& scheduler,
                           const store::WatchSessionSettings& session, std::uint64_t seed)
    : queue_(queue), store_(store), scheduler_(scheduler, seed), session_(session, seed + 1) {}

void HollowReader::Start() {
  session_.Start(queue_.Now());
  Advance();
}

void HollowReader::CloseStream() {
  session_.OnStreamClosed(queue_.Now());
  Advance();
}

void HollowReader::Advance() {
  const base::TimePoint now = queue_.Now();
  scheduler_.Tick(now);
  session_.Tick(now);
  bool acted = true;
  while (acted) {
    const auto scheduler_actions = scheduler_.TakeActions();
    for (const store::SchedulerAction& action : scheduler_actions) {
      std::visit([this](const auto& typed) { Apply(typed); }, action);
    }
    const auto session_actions = session_.TakeActions();
    for (const store::WatchAction& action : session_actions) {
      std::visit([this](const auto& typed) { Apply(typed); }, action);
    }
    acted = !scheduler_actions.empty() || !session_actions.empty();
  }
  ScheduleNext();
}

void HollowReader::Apply(const store::SendAttempt& action) {
  const HollowAnswer answer = store_.Receive(queue_.Now());
  queue_.Schedule(queue_.Now() + kRoundTrip, [this, answer, attempt = action.attempt] {
    if (answer == HollowAnswer::kUnreachable) {
      scheduler_.OnAttemptFailed(attempt, http_client::TransportFailure::kNotSent, "",
                                 queue_.Now());
    } else {
      scheduler_.OnAnswer(attempt, ToHttpAnswer(answer, store_.Revision()), queue_.Now());
    }
    Advance();
  });
}

void HollowReader::Apply(const store::CompleteRequest& action) {
  session_.OnReadResult(action.result, queue_.Now());
}

void HollowReader::Apply(const store::ReadForWatch& action) {
  scheduler_.Submit(action.request, queue_.Now() + kReadTimeout, queue_.Now());
}

void HollowReader::Apply(const store::OpenWatchStream& action) {
  const std::uint64_t stream = ++stream_;
  queue_.Schedule(
      scheduler_.ReserveStreamOpening(queue_.Now()),
      [this, stream, start = action.request.start_revision] { OpenStream(stream, start); });
}

void HollowReader::Apply(const store::CloseWatchStream& /*action*/) { ++stream_; }

void HollowReader::OpenStream(std::uint64_t stream, base::Revision start) {
  if (stream != stream_) {
    return;  // closed while it waited
  }
  session_.OnStreamStarted(queue_.Now());
  const HollowAnswer answer = store_.Receive(queue_.Now());
  queue_.Schedule(queue_.Now() + kRoundTrip, [this, stream, start, answer] {
    if (stream == stream_ && answer == HollowAnswer::kOk) {
      session_.OnFrame(FirstFrame(start, store_), queue_.Now());
    } else if (stream == stream_) {
      session_.OnStreamClosed(queue_.Now());
    }
    Advance();
  });
}

void HollowReader::ScheduleNext() {
  std::optional<base::TimePoint> due = session_.NextDue();
  if (const auto scheduler_due = scheduler_.NextDue(queue_.Now())) {
    due = due ? std::min(*due, *scheduler_due) : *scheduler_due;
  }
  if (!due || (scheduled_ && *scheduled_ <= *due && *scheduled_ > queue_.Now())) {
    return;
  }
  scheduled_ = std::max(*due, queue_.Now());
  queue_.Schedule(*scheduled_, [this, at = *scheduled_] {
    if (scheduled_ == at) {
      scheduled_.reset();
      Advance();
    }
  });
}

}  // namespace gaugevalve::proofs
