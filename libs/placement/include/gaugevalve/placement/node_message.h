/// @file
/// What nodes tell each other about themselves, and its bytes (protobuf behind a ForwardHeader).
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/placement/agent_report.h"
#include "gaugevalve/placement/balancer_list.h"
#include "gaugevalve/placement/evacuated_zones.h"
#include "gaugevalve/placement/warm_up_limiter.h"

namespace gaugevalve::placement {

/// What a balancer tells agents and other balancers.
struct BalancerGreeting {
  base::Incarnation life;
  std::uint64_t routes_version = 0;    ///< 0 for none
  std::vector<BalancerAge> balancers;  ///< alive; without the sender
  std::vector<ListedAgent> agents;
  std::string health_check_path;  ///< of the service of the agent written to; may be empty
  std::size_t agent_count = 0;    ///< that the balancer knows
  bool wants_answer = false;      ///< the receiver is asked for a report or a whole listing
  bool wants_fellows = false;     ///< an agent is asked for the other agents that it knows
  bool is_learning = false;       ///< the balancer may not know all agents yet
  /// How long ago the store said that this is its newest configuration, as far as the sender knows.
  std::optional<base::Duration> store_age;
  EvacuatedZones evacuated;           ///< as far as the sender knows
  std::optional<WarmUpRate> warm_up;  ///< of the service of the agent written to
  std::vector<RequestClass> classes;  ///< likewise; empty where none is known
  std::optional<AgentReport> memory;  ///< of the endpoint beside the agent written to
  base::Duration memory_age{0};
};

/// The agents that a node knows, for those who know none.
struct AgentListing {
  std::vector<ListedAgent> agents;  ///< a part of them where there are many
  std::size_t agent_count = 0;      ///< of the deployment
};

using NodeMessage = std::variant<AgentReport, BalancerGreeting>;

/// Returns the listing's bytes, for a store.
std::string EncodeAgentListing(const AgentListing& listing);

/// Returns the listing in the bytes, or nothing when they are malformed.
/// @param port  the port of all nodes
std::optional<AgentListing> DecodeAgentListing(std::string_view bytes, std::uint16_t port);

/// Returns the message's datagram.
std::string EncodeNodeMessage(const NodeMessage& message);

/// Returns the message behind a control header, or nothing when it is malformed.
/// @param datagram  the whole datagram
/// @param port  the port of all nodes
std::optional<NodeMessage> DecodeNodeMessage(std::span<const std::uint8_t> datagram,
                                             std::uint16_t port);

}  // namespace gaugevalve::placement
