#include "gaugevalve/routing/zone_preference.h"

#include <algorithm>
#include <utility>

namespace gaugevalve::routing {

ZonePreference::ZonePreference(std::vector<std::string> preferred_zones, double spill_utilisation)
    : preferred_zones_(std::move(preferred_zones)), spill_utilisation_(spill_utilisation) {}

bool ZonePreference::IsPreferred(const AgentView& agent) const {
  return std::find(preferred_zones_.begin(), preferred_zones_.end(), agent.zone) !=
         preferred_zones_.end();
}

void ZonePreference::Adjust(std::span<const AgentView> agents, base::TimePoint /*now*/,
                            std::span<double> shares) {
  if (preferred_zones_.empty()) {
    return;
  }
  double near_capacity = 0.0;
  double far_capacity = 0.0;
  double demand = 0.0;
  for (std::size_t position = 0; position < agents.size(); ++position) {
    double& capacity = IsPreferred(agents[position]) ? near_capacity : far_capacity;
    capacity += shares[position];
    demand += agents[position].utilisation * agents[position].weight;
  }
  if (near_capacity <= 0.0 || far_capacity <= 0.0) {
    return;
  }
  // The far zones never take more than their even part: past that point all are alike.
  const double even_part = far_capacity / (near_capacity + far_capacity);
  const double surplus = std::max(0.0, demand - spill_utilisation_ * near_capacity);
  const double far_part = demand > 0.0 ? std::min(even_part, surplus / demand) : 0.0;
  for (std::size_t position = 0; position < agents.size(); ++position) {
    const bool preferred = IsPreferred(agents[position]);
    shares[position] *= preferred ? (1.0 - far_part) / near_capacity : far_part / far_capacity;
  }
}

}  // namespace gaugevalve::routing
