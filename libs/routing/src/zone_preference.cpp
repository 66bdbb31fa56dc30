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
  double preferred_capacity = 0.0;
  double other_capacity = 0.0;
  double demand = 0.0;
  for (std::size_t position = 0; position < agents.size(); ++position) {
    double& capacity = IsPreferred(agents[position]) ? preferred_capacity : other_capacity;
    capacity += shares[position];
    demand += agents[position].utilisation * agents[position].weight;
  }
  if (preferred_capacity <= 0.0 || other_capacity <= 0.0) {
    return;
  }
  // The other zones never get more than their even part: beyond that point all zones are treated
  // alike.
  const double even_part = other_capacity / (preferred_capacity + other_capacity);
  const double surplus = std::max(0.0, demand - spill_utilisation_ * preferred_capacity);
  const double other_part = demand > 0.0 ? std::min(even_part, surplus / demand) : 0.0;
  for (std::size_t position = 0; position < agents.size(); ++position) {
    const bool preferred = IsPreferred(agents[position]);
    shares[position] *=
        preferred ? (1.0 - other_part) / preferred_capacity : other_part / other_capacity;
  }
}

}  // namespace gaugevalve::routing
