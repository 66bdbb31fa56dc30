#include "endpoint_report.h"

namespace gaugevalve::standins {

void EndpointReport::Record(const EndpointState& state, ReportFault fault, base::TimePoint now) {
  if (fault == ReportFault::kFreeze) {
    return;
  }
  if (history_.size() >= kMaxHistory) {
    history_.pop_front();
  }
  history_.push_back({now, state});
}

EndpointState EndpointReport::Show(ReportFault fault, base::Duration lag,
                                   base::TimePoint now) const {
  if (fault == ReportFault::kLag) {
    return StateAt(now - lag);
  }
  if (fault == ReportFault::kLie) {
    EndpointState idle;
    idle.slots = Latest().slots;
    return idle;
  }
  return Latest();
}

EndpointState EndpointReport::Latest() const {
  return history_.empty() ? EndpointState{} : history_.back().state;
}

EndpointState EndpointReport::StateAt(base::TimePoint time) const {
  for (auto entry = history_.rbegin(); entry != history_.rend(); ++entry) {
    if (entry->time <= time) {
      return entry->state;
    }
  }
  return history_.empty() ? EndpointState{} : history_.front().state;
}

}  // namespace gaugevalve::standins
