#include "gaugevalve/daemon/drop_log.h"

#include <cstdint>

#include "gaugevalve/telemetry/event.h"

namespace gaugevalve::daemon {
namespace {

std::string ReasonOf(const prometheus::ClientMetric& metric) {
  for (const prometheus::ClientMetric::Label& label : metric.label) {
    if (label.name == "reason") {
      return label.value;
    }
  }
  return "";
}

}  // namespace

void DropLog::Write() {
  for (const prometheus::MetricFamily& family : registry_->Collect()) {
    if (family.name != metric_name_) {
      continue;
    }
    for (const prometheus::ClientMetric& metric : family.metric) {
      const std::string reason = ReasonOf(metric);
      double& last = last_[reason];
      const double grown = metric.counter.value - last;
      last = metric.counter.value;
      if (grown > 0) {
        telemetry::Event(telemetry::Level::kWarning, "datagrams_dropped")
            .Field("reason", reason)
            .Field("count", static_cast<std::uint64_t>(grown));
      }
    }
  }
}

}  // namespace gaugevalve::daemon
