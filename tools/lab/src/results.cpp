#include "results.h"

#include <algorithm>
#include <numeric>

namespace gaugevalve::lab {

double ImbalanceOf(const WindowSample& window, bool by_ramp) {
  double most = 0.0;
  double busy = 0.0;
  double capacity = 0.0;
  for (const AgentSample& agent : window.agents) {
    if (!agent.serving) {
      continue;
    }
    const double ramp = by_ramp ? agent.ramp : 1.0;
    most = std::max(most, agent.utilisation / ramp);
    busy += agent.utilisation;
    capacity += ramp;
  }
  return busy > 0.0 ? most / (busy / capacity) : 1.0;
}

std::uint64_t ServiceResults::BrokenInAll() const {
  return std::accumulate(broken.begin(), broken.end(), std::uint64_t{0},
                         [](std::uint64_t sum, const auto& entry) { return sum + entry.second; });
}

base::Duration ServiceResults::MeanLateWait() const {
  return flows_opened_late == 0 ? base::Duration::zero()
                                : late_opens_wait / static_cast<std::int64_t>(flows_opened_late);
}

}  // namespace gaugevalve::lab
