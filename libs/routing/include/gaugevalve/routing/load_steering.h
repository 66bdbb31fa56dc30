// Load steering: agents busier than the mean get fewer of the new flows.
#pragma once

#include "gaugevalve/routing/share_policy.h"

namespace gaugevalve::routing {

// Proportional control of the share of new flows by smoothed utilisation. Open flows already
// integrate the new flows of the past, so an integral term would overshoot (docs/design/0007).
// Deviations within the hysteresis are ignored. Old reports weigh less, so that the share of an
// agent with late reports returns to its unsteered value. An agent near its flow capacity gets no
// new flows, unless all are.
class LoadSteering final : public SharePolicy {
 public:
  // `gain`: relative change of the share for a relative deviation of load; 0 or above.
  LoadSteering(double gain, double hysteresis) : gain_(gain), hysteresis_(hysteresis) {}

  void Adjust(std::span<const AgentView> agents, base::TimePoint now,
              std::span<double> shares) override;

 private:
  double Factor(const AgentView& agent, double mean_utilisation) const;

  double gain_;
  double hysteresis_;
};

}  // namespace gaugevalve::routing
