// Input of the share policies about a live agent.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/time.h"

namespace gaugevalve::routing {

// Smoothed measurements of one live agent at the time of a planning step.
struct AgentView {
  base::NodeId node;
  std::string zone;
  double weight = 1.0;       // from the settings
  double utilisation = 0.0;  // smoothed (busy + queued) / slots, or flows / capacity
  // 1 for a fresh report, falls to 0 at the report timeout; 0 without a report.
  double report_weight = 0.0;
  double flow_utilisation = 0.0;  // open flows / flow capacity, as last reported
  double failure_rate = 0.0;      // smoothed failures of the endpoint a second
  // Since the endpoint started or, without a report, since the agent was first seen.
  base::Duration endpoint_uptime{};
};

}  // namespace gaugevalve::routing
