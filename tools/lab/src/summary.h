// Figures worked out from a run's samples.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "results.h"
#include "scenario.h"

namespace gaugevalve::lab {

// One service in one phase of a run.
struct PhaseSummary {
  std::string phase;
  std::size_t windows = 0;
  double mean_imbalance = 1.0;  // mean over the windows of the most over the mean busy slots
  double p95_imbalance = 1.0;
  double overall_imbalance = 1.0;      // of the busy slots summed over the phase
  double mean_ramped_imbalance = 1.0;  // with a cold endpoint's capacity counted by its ramp
  double mean_utilisation = 0.0;       // of the serving agents
  base::Duration p99_wait{};           // of requests that started in the phase
  std::uint64_t broken_flows = 0;      // in the phase, all causes
  std::uint64_t moved_buckets = 0;
};

// Returns the service's summary for each phase; without phases, for the whole run.
std::vector<PhaseSummary> Summarise(const ServiceResults& service,
                                    const std::vector<Phase>& phases);

}  // namespace gaugevalve::lab
