// Report of an agent to the planner of its service, sent a few times a second at most.
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
  kDraining = 1,  // keeps its open flows, accepts no new ones
};

// How many flows an agent holds in one bucket.
struct BucketFlows {
  base::BucketIndex bucket;
  std::uint32_t flows = 0;

  friend bool operator==(const BucketFlows&, const BucketFlows&) = default;
};

// Measurements of one agent. Its own counts take precedence over what the endpoint reports about
// itself.
struct AgentReport {
  base::ServiceId service;
  base::NodeId node;
  base::Incarnation incarnation;
  AgentState state = AgentState::kServing;
  TableVersion table_version;  // newest table the agent has
  std::uint32_t open_flows = 0;
  std::uint32_t busy_slots = 0;   // requests in progress at the endpoint
  std::uint32_t total_slots = 0;  // requests that the endpoint processes at once
  std::uint32_t queued_requests = 0;
  // Sum of the time for which slots were busy since the previous report, and the length of that
  // interval. 0: not measured; then only `busy_slots` is available. The mean over the interval is a
  // far better measure of load than the count at one moment.
  base::Duration busy_slot_time{0};
  base::Duration measured_time{0};
  base::Duration recent_latency{0};     // smoothed response time of the endpoint
  base::Duration endpoint_uptime{0};    // since the endpoint last started; for the cold-start ramp
  std::uint32_t endpoint_failures = 0;  // since the last report
  std::vector<std::uint32_t> flows_in_buckets;  // index = bucket; open flows held here

  // Increases with each report of an incarnation; 0: not numbered. It is sent beside the encoded
  // report, not in it.
  std::uint64_t sequence = 0;
  // Above 0: `flows_in_buckets` is empty, and `flow_changes` holds the buckets that may have
  // changed since the report with this number. See FlowCountEncoder.
  std::uint64_t flows_base = 0;
  std::vector<BucketFlows> flow_changes{};
};

}  // namespace gaugevalve::routing
