// Logs the number of dropped datagrams per reason instead of a line per datagram.
#pragma once

#include <map>
#include <string>

#include "prometheus/registry.h"

namespace gaugevalve::daemon {

// Compares a metric with the label "reason" to its last reading and writes one event
// "datagrams_dropped" for each reason that has grown. Runs outside the data path, in the thread
// that writes the log.
class DropLog {
 public:
  // Reads the metric `metric_name` of the registry, which must outlive this.
  DropLog(prometheus::Registry& registry, std::string metric_name)
      : registry_(&registry), metric_name_(std::move(metric_name)) {}

  // Writes the events for datagrams dropped since the last call. Call it every few seconds.
  void Write();

 private:
  prometheus::Registry* registry_;
  std::string metric_name_;
  std::map<std::string, double> last_;  // by reason; bounded by the number of reasons
};

}  // namespace gaugevalve::daemon
