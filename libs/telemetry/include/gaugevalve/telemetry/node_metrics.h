/// @file
/// Counters, gauges and histograms of a process, as text for the metrics address.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <string>

namespace gaugevalve::telemetry {

/// Makes metrics of one registry and writes them all in Prometheus' text format. References stay
/// valid as long as this object. Not thread-safe.
class NodeMetrics {
 public:
  NodeMetrics() : m_registry(std::make_shared<prometheus::Registry>()) {}

  prometheus::Counter& MakeCounter(const std::string& name, const std::string& help,
                                   const std::map<std::string, std::string>& labels = {});
  prometheus::Gauge& MakeGauge(const std::string& name, const std::string& help,
                               const std::map<std::string, std::string>& labels = {});
  prometheus::Histogram& MakeHistogram(const std::string& name, const std::string& help,
                                       const prometheus::Histogram::BucketBoundaries& bounds);

  std::string Text() const;

 private:
  std::shared_ptr<prometheus::Registry> m_registry;
};

/// Upper bounds in seconds for latencies of requests.
prometheus::Histogram::BucketBoundaries LatencyBounds();

/// Upper bounds for how often a packet was passed on.
prometheus::Histogram::BucketBoundaries PassBounds();

}  // namespace gaugevalve::telemetry
