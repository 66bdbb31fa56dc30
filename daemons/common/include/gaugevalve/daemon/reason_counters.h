// Low-overhead counters for the data path, optionally by reason.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "prometheus/counter.h"
#include "prometheus/family.h"
#include "prometheus/registry.h"

namespace gaugevalve::daemon {

// Registers a counter without labels. The registry owns it.
prometheus::Counter& MakeCounter(prometheus::Registry& registry, const std::string& name,
                                 const std::string& help);

// A non-atomic counter of one thread that is periodically added to a metric readable by any thread.
class PublishedCounter {
 public:
  explicit PublishedCounter(prometheus::Counter& metric) : metric_(&metric) {}

  void Add(std::uint64_t amount = 1) { pending_ += amount; }

  // Adds the count since the last call to the metric. Lock-free.
  void Publish();

 private:
  prometheus::Counter* metric_;
  std::uint64_t pending_ = 0;
};

// One PublishedCounter per value of an enumeration with consecutive values from 0, as a metric with
// the label "reason". All reasons are exported from the start with the value 0.
class ReasonCounters {
 public:
  // `reason_names[i]` is the label of value i.
  ReasonCounters(prometheus::Registry& registry, const std::string& metric_name,
                 const std::string& help, const std::vector<std::string_view>& reason_names);

  // Increments the counter of the reason.
  template <class Reason>
  void Add(Reason reason) {
    counters_[static_cast<std::size_t>(reason)].Add();
  }

  // Adds all counts since the last call to the metrics. The counting thread calls it periodically.
  void Publish();

 private:
  std::vector<PublishedCounter> counters_;
};

// Returns the names of the values 0 to `count` - 1 of an enumeration that has ToString().
template <class Reason>
std::vector<std::string_view> ReasonNames(std::size_t count) {
  std::vector<std::string_view> names;
  names.reserve(count);
  for (std::size_t value = 0; value < count; ++value) {
    names.push_back(ToString(static_cast<Reason>(value)));
  }
  return names;
}

}  // namespace gaugevalve::daemon
