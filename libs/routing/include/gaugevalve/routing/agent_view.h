// A live agent as the share policies see it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/time.h"

namespace gaugevalve::routing {

// Smoothed measures of one live agent at the time of a planning step.
struct AgentView {
  base::NodeId node;
  std::string zone;
  double weight = 1.0;               // from the settings
  double utilisation = 0.0;          // smoothed (busy + queued) / slots, or flows / capacity
  double trust = 0.0;                // 1 for a fresh report, 0 for none or one timed out
  double flow_utilisation = 0.0;     // open flows / flow capacity, as last reported
  double failure_rate = 0.0;         // smoothed failures of the endpoint a second
  base::Duration endpoint_uptime{};  // since the endpoint started, as far as is known
};

}  // namespace gaugevalve::routing
