// Steering by load: agents busier than the mean get fewer of the new flows.
#pragma once

#include "gaugevalve/routing/share_policy.h"

namespace gaugevalve::routing {

// Proportional control of intake on smoothed utilisation. Proportional, because open flows already
// add up what was taken in: an integral on top overshoots (docs/design/0007). Deviations within the
// hysteresis are left alone, and an old report weighs less, so that a lagging agent is steered back
// to its plain share. An agent near its flow capacity gets nothing, unless all are.
class LoadSteering final : public SharePolicy {
 public:
  // `gain`: relative change of intake for a relative deviation of load; 0 or above.
  LoadSteering(double gain, double hysteresis) : gain_(gain), hysteresis_(hysteresis) {}

  void Adjust(std::span<const AgentView> agents, base::TimePoint now,
              std::span<double> shares) override;

 private:
  double Factor(const AgentView& agent, double mean_utilisation) const;

  double gain_;
  double hysteresis_;
};

}  // namespace gaugevalve::routing
