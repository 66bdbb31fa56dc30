/// @file
/// An agent's account of itself and of the endpoint beside it, as a plain value.
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

/// How busy an endpoint is.
struct EndpointLoad {
  std::uint32_t capacity = 1;      ///< requests at a time
  std::uint32_t busy = 0;          ///< requests without an answer yet, and openings under way
  PriorityCounts queued{};         ///< those of them that wait at the agent, by priority
  double busy_average = 0;         ///< of the last second or so
  std::uint32_t open_flows = 0;    ///< as far as the agent knows
  base::Duration answer_time{0};   ///< average from a request to its answer's first byte
  base::Duration warm_up_left{0};  ///< how much longer it is slow from its start
};

/// An agent that somebody has heard, though perhaps not lately.
struct ListedAgent {
  base::SocketAddress address;
  base::ServiceId service;
  std::uint32_t zone = 0;  ///< ZoneHash() of its zone; 0 where it isn't known
};

/// Returns what stands for a zone among nodes: the same on each of them.
std::uint32_t ZoneHash(std::string_view zone);

struct AgentReport {
  base::Incarnation life;      ///< of the agent's process; any number of its own, without order
  std::uint64_t sequence = 0;  ///< rises with each report of this life
  base::ServiceId service;
  std::string zone;
  EndpointStanding standing = EndpointStanding::kUnknown;
  EndpointIncarnation endpoint;    ///< may be empty
  std::uint64_t announcement = 0;  ///< sequence of the newest announcement taken from it
  EndpointLoad load;
  base::Duration period{0};     ///< until the agent's next report
  bool wants_memory = false;    ///< the agent hasn't heard its endpoint since it started
  bool is_ejected = false;      ///< the endpoint fails requests: new flows should go elsewhere
  std::size_t agent_count = 0;  ///< of the deployment, as balancers told this agent; 0: not told
  EvacuatedZones evacuated;     ///< as far as the agent was told
  HeldAddresses held;           ///< virtual addresses of the flows that the endpoint holds
  std::uint64_t routes_version = 0;  ///< of the configuration that the agent holds; 0 for none
  std::vector<ListedAgent> fellows;  ///< other agents that it knows, where it was asked for them
};

}  // namespace gaugevalve::placement
