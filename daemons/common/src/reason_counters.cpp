#include "gaugevalve/daemon/reason_counters.h"

namespace gaugevalve::daemon {

prometheus::Counter& MakeCounter(prometheus::Registry& registry, const std::string& name,
                                 const std::string& help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add({});
}

void PublishedCounter::Publish() {
  if (pending_ > 0) {
    metric_->Increment(static_cast<double>(pending_));
    pending_ = 0;
  }
}

ReasonCounters::ReasonCounters(prometheus::Registry& registry, const std::string& metric_name,
                               const std::string& help,
                               const std::vector<std::string_view>& reason_names) {
  prometheus::Family<prometheus::Counter>& family =
      prometheus::BuildCounter().Name(metric_name).Help(help).Register(registry);
  counters_.reserve(reason_names.size());
  for (const std::string_view name : reason_names) {
    counters_.emplace_back(family.Add({{"reason", std::string(name)}}));
  }
}

void ReasonCounters::Publish() {
  for (PublishedCounter& counter : counters_) {
    counter.Publish();
  }
}

}  // namespace gaugevalve::daemon
