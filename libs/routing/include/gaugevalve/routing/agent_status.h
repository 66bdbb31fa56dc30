// What the planner is told about one agent by membership and settings.
#pragma once

#include <cstdint>

#include "gaugevalve/routing/bucket_table.h"

namespace gaugevalve::routing {

// Whether an agent may own buckets.
enum class AgentLiveness : std::uint8_t {
  kLive = 0,     // owns buckets and opens flows
  kLeaving = 1,  // keeps its flows, gets no new ones
  kDead = 2,     // declared dead; may still run unseen
};

// One agent of a service as membership and settings know it.
struct AgentStatus {
  AgentEntry entry;
  AgentLiveness liveness = AgentLiveness::kLive;
  double weight = 1.0;                 // share of new flows relative to others; 0 gets none
  std::uint32_t flow_capacity = 2000;  // open flows it can hold

  friend bool operator==(const AgentStatus&, const AgentStatus&) = default;
};

}  // namespace gaugevalve::routing
