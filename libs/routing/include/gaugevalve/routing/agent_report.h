// What an agent tells the planner of its service about itself, a few times a second at most.
#pragma once

#include <cstdint>
#include <vector>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/routing/table_version.h"

namespace gaugevalve::routing {

// Whether an agent takes new work.
enum class AgentState : std::uint8_t {
  kServing = 0,
  kDraining = 1,  // keeps what it has, takes nothing new
};

// One agent's own measures. Its own counts are trusted over what the endpoint says of itself.
struct AgentReport {
  base::ServiceId service;
  base::NodeId node;
  base::Incarnation incarnation;
  AgentState state = AgentState::kServing;
  TableVersion table_version;  // newest table the agent has
  std::uint32_t open_flows = 0;
  std::uint32_t busy_slots = 0;   // requests now at the endpoint
  std::uint32_t total_slots = 0;  // requests the endpoint takes at once
  std::uint32_t queued_requests = 0;
  // Slot time in use since the report before, and the time that this covers; 0: not measured, then
  // `busy_slots` is all there is. The mean is a far better measure than the count of one moment.
  base::Duration busy_slot_time{0};
  base::Duration measured_time{0};
  base::Duration recent_latency{0};             // smoothed time of an answer at the endpoint
  base::Duration age_of_service{0};             // since the endpoint last started: cold-start ramp
  std::uint32_t endpoint_failures = 0;          // since the last report
  std::vector<std::uint32_t> flows_in_buckets;  // index = bucket; open flows held here
};

}  // namespace gaugevalve::routing
