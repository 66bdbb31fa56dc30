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

// How many flows an agent holds in one bucket.
struct BucketFlows {
  base::BucketIndex bucket;
  std::uint32_t flows = 0;

  friend bool operator==(const BucketFlows&, const BucketFlows&) = default;
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
  base::Duration endpoint_uptime{0};            // since the endpoint last started: cold-start ramp
  std::uint32_t endpoint_failures = 0;          // since the last report
  std::vector<std::uint32_t> flows_in_buckets;  // index = bucket; open flows held here

  // Grows with each report of a life; 0: not numbered. Travels outside the report's bytes.
  std::uint64_t sequence = 0;
  // Above 0: `flows_in_buckets` is empty, and `flow_changes` is what may have changed since the
  // report with this number. See FlowCountEncoder.
  std::uint64_t flows_base = 0;
  std::vector<BucketFlows> flow_changes{};
};

}  // namespace gaugevalve::routing
