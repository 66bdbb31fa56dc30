// Logs how many datagrams were dropped and why, without a line for each.
#pragma once

#include <map>
#include <string>

#include "prometheus/registry.h"

namespace gaugevalve::daemon {

// Compares a metric with the label "reason" to its last reading and writes one event
// "datagrams_dropped" for each reason that has grown. Runs off the data path, in the thread that
// has the log.
class DropLog {
 public:
  // Reads the metric `metric_name` of the registry, which must outlive this.
  DropLog(prometheus::Registry& registry, std::string metric_name)
      : registry_(&registry), metric_name_(std::move(metric_name)) {}

  // Writes the events for what happened since the last call. Call it every few seconds.
  void Write();

 private:
  prometheus::Registry* registry_;
  std::string metric_name_;
  std::map<std::string, double> last_;  // by reason; bounded by the reasons there are
};

}  // namespace gaugevalve::daemon
