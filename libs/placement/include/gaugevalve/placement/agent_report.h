/// @file
/// Report of an agent on itself and on its endpoint, as a plain value.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/placement/endpoint_gate.h"
#include "gaugevalve/placement/endpoint_incarnation.h"
#include "gaugevalve/placement/evacuated_zones.h"
#include "gaugevalve/placement/held_addresses.h"
#include "gaugevalve/placement/request_class.h"

namespace gaugevalve::placement {

/// Load of an endpoint.
struct EndpointLoad {
  std::uint32_t capacity = 1;      ///< maximum number of concurrent requests
  std::uint32_t busy = 0;          ///< requests without an answer yet, and openings in progress
  PriorityCounts queued{};         ///< those of `busy` that are queued at the agent, by priority
  double busy_average = 0;         ///< moving average over about the last second
  std::uint32_t open_flows = 0;    ///< number known to the agent
  base::Duration answer_time{0};   ///< average time from a request to the first byte of its answer
  base::Duration warm_up_left{0};  ///< remaining warm-up time after its start
};

/// An agent from which another node has received a message, not necessarily recently.
struct ListedAgent {
  base::SocketAddress address;
  base::ServiceId service;
  std::uint32_t zone = 0;  ///< ZoneHash() of its zone; 0 if unknown
  /// It has announced that it stops. It may be restarting while its endpoint holds flows.
  bool is_stopping = false;
};

/// Returns a hash that identifies a zone in messages. It is the same on all nodes.
std::uint32_t ZoneHash(std::string_view zone);

struct AgentReport {
  /// Incarnation of the agent's process; incarnation numbers are not ordered.
  base::Incarnation incarnation;
  std::uint64_t sequence = 0;  ///< increases with each report of this incarnation
  base::ServiceId service;
  std::string zone;
  EndpointStanding standing = EndpointStanding::kUnknown;
  EndpointIncarnation endpoint;    ///< empty if unknown
  std::uint64_t announcement = 0;  ///< sequence number of the newest announcement accepted
  EndpointLoad load;
  base::Duration period{0};  ///< time until the agent's next report
  bool wants_memory =
      false;  ///< the agent has received nothing from its endpoint since the agent started
  bool is_ejected = false;  ///< the endpoint fails requests and should get no new flows
  /// Agents of the deployment, as stated by balancers; 0 if not stated.
  std::size_t agent_count = 0;
  EvacuatedZones evacuated;          ///< as far as known to the agent
  HeldAddresses held;                ///< virtual addresses of the flows that the endpoint holds
  std::uint64_t routes_version = 0;  ///< configuration version that the agent holds; 0 for none
  std::vector<ListedAgent> fellows;  ///< other agents known to this one; sent on request only
};

}  // namespace gaugevalve::placement
