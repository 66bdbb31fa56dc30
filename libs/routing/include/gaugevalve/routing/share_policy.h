// Interface of the policies that adjust the agents' shares of new flows.
#pragma once

#include <span>

#include "gaugevalve/base/time.h"
#include "gaugevalve/routing/agent_view.h"

namespace gaugevalve::routing {

// Adjusts the live agents' shares of new flows. The planner starts from the weights of the settings
// and passes the shares through its policies in order; only the shares' ratios count. A policy may
// keep state between calls, is used by one planner, and isn't thread-safe.
class SharePolicy {
 public:
  virtual ~SharePolicy() = default;

  // Scales `shares[i]`, the share of `agents[i]`; both have the same size, agents sorted by node.
  // Shares stay at 0 or above.
  virtual void Adjust(std::span<const AgentView> agents, base::TimePoint now,
                      std::span<double> shares) = 0;
};

}  // namespace gaugevalve::routing
