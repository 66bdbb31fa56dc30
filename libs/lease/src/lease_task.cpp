#include "gaugevalve/lease/lease_task.h"

#include <algorithm>
#include <utility>

namespace gaugevalve::lease {

LeaseTask::LeaseTask(event_base* loop, store::StoreClient& client, const base::Clock& clock,
                     LeaseSettings settings, std::uint64_t seed, Callback on_change)
    : client_(client),
      clock_(clock),
      holder_(std::move(settings), seed),
      on_change_(std::move(on_change)),
      timer_(loop, [this] { Advance(); }) {}

void LeaseTask::Campaign() {
  holder_.Campaign(clock_.Now());
  timer_.StartOnce(base::Duration::zero());
}

void LeaseTask::Resign() {
  holder_.Resign(clock_.Now());
  timer_.StartOnce(base::Duration::zero());
}

void LeaseTask::Advance() {
  const base::TimePoint now = clock_.Now();
  holder_.Tick(now);
  for (LeaseRequest& request : holder_.TakeRequests()) {
    Submit(std::move(request));
  }
  ReportChange();
  if (const auto due = holder_.NextDue(now)) {
    timer_.StartOnce(std::max(*due - now, base::Duration::zero()));
  }
}

void LeaseTask::Submit(LeaseRequest request) {
  client_.Submit(
      std::move(request.request), request.timeout,
      [weak = std::weak_ptr<LeaseTask*>(self_), tag = request.tag](const store::Result& result) {
        if (const auto self = weak.lock()) {
          (*self)->holder_.OnResult(tag, result, (*self)->clock_.Now());
          (*self)->Advance();
        }
      });
}

void LeaseTask::ReportChange() {
  const LeaseView view = View();
  const bool changed = view.status != reported_.status || view.token != reported_.token ||
                       view.renewal_fails != reported_.renewal_fails;
  reported_ = view;
  if (changed && on_change_) {
    on_change_(view);
  }
}

}  // namespace gaugevalve::lease
