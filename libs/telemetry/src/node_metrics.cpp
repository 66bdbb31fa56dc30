#include "gaugevalve/telemetry/node_metrics.h"

#include <prometheus/text_serializer.h>

namespace gaugevalve::telemetry {

prometheus::Counter& NodeMetrics::MakeCounter(const std::string& name, const std::string& help,
                                              const std::map<std::string, std::string>& labels) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(*m_registry).Add(labels);
}

prometheus::Gauge& NodeMetrics::MakeGauge(const std::string& name, const std::string& help,
                                          const std::map<std::string, std::string>& labels) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(*m_registry).Add(labels);
}

prometheus::Histogram& NodeMetrics::MakeHistogram(
    const std::string& name, const std::string& help,
    const prometheus::Histogram::BucketBoundaries& bounds) {
  return prometheus::BuildHistogram().Name(name).Help(help).Register(*m_registry).Add({}, bounds);
}

std::string NodeMetrics::Text() const {
  return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

prometheus::Histogram::BucketBoundaries LatencyBounds() {
  return {0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.5};
}

prometheus::Histogram::BucketBoundaries PassBounds() { return {0, 1, 2, 3, 5, 8, 13, 21, 50}; }

}  // namespace gaugevalve::telemetry
