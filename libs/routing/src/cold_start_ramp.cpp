#include "gaugevalve/routing/cold_start_ramp.h"

#include <algorithm>

namespace gaugevalve::routing {

void ColdStartRamp::Adjust(std::span<const AgentView> agents, base::TimePoint /*now*/,
                           std::span<double> shares) {
  for (std::size_t position = 0; position < agents.size(); ++position) {
    shares[position] *= FractionAt(agents[position].endpoint_uptime);
  }
}

double ColdStartRamp::FractionAt(base::Duration age) const {
  if (steps_ == 0 || age >= ramp_) {
    return 1.0;
  }
  const base::Duration known_age = std::max(age, base::Duration::zero());
  const auto steps_behind = known_age.count() * steps_ / ramp_.count();
  return static_cast<double>(steps_behind + 1) / (steps_ + 1);
}

}  // namespace gaugevalve::routing
