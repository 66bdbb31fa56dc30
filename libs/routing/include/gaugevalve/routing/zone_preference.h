// Zone preference: new flows go to the preferred zones up to a utilisation bound.
#pragma once

#include <string>
#include <vector>

#include "gaugevalve/routing/share_policy.h"

namespace gaugevalve::routing {

// Keeps a service's new flows in the preferred zones until their utilisation would pass a bound,
// and gives the agents of other zones only the surplus. Utilisation comes from the agents' own
// reports. While the preferred zones have no live agent, the other zones get all new flows.
class ZonePreference final : public SharePolicy {
 public:
  // `spill_utilisation` is in (0, 1]. Without preferred zones the policy changes nothing.
  ZonePreference(std::vector<std::string> preferred_zones, double spill_utilisation);

  void Adjust(std::span<const AgentView> agents, base::TimePoint now,
              std::span<double> shares) override;

 private:
  bool IsPreferred(const AgentView& agent) const;

  std::vector<std::string> preferred_zones_;
  double spill_utilisation_;
};

}  // namespace gaugevalve::routing
