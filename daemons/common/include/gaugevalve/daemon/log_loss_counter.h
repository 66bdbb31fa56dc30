/// @file
/// Counts the log lines that the process could not write.
#pragma once

#include <cstdint>

#include "prometheus/counter.h"
#include "prometheus/registry.h"

namespace gaugevalve::daemon {

/// The metric `gaugevalve_log_lines_lost_total`: lines that the log's reader had no room for.
class LogLossCounter {
 public:
  explicit LogLossCounter(prometheus::Registry& registry);

  /// Adds the lines lost since the last call. Call it every few seconds.
  void Update();

 private:
  prometheus::Counter* m_counter;
  std::uint64_t m_counted = 0;
};

}  // namespace gaugevalve::daemon
