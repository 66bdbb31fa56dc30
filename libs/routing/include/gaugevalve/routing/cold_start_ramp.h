// Cold start: a freshly started endpoint gets its share in steps.
#pragma once

#include <cstdint>

#include "gaugevalve/routing/share_policy.h"

namespace gaugevalve::routing {

// Scales an agent's share by the elapsed part of its endpoint's ramp, in equal steps, so that the
// table changes `steps` times rather than every second. The first step is above zero.
class ColdStartRamp final : public SharePolicy {
 public:
  // A ramp of zero length or without steps is disabled.
  ColdStartRamp(base::Duration ramp, std::uint32_t steps) : ramp_(ramp), steps_(steps) {}

  void Adjust(std::span<const AgentView> agents, base::TimePoint now,
              std::span<double> shares) override;

  // Returns the fraction in (0, 1] for an endpoint of this age.
  double FractionAt(base::Duration age) const;

 private:
  base::Duration ramp_;
  std::uint32_t steps_;
};

}  // namespace gaugevalve::routing
