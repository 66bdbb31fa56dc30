/// @file
/// Control messages between nodes and their encoding: a ForwardHeader followed by protobuf.
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

/// A balancer's gossip message to agents and other balancers.
struct BalancerGreeting {
  base::Incarnation incarnation;
  std::uint64_t routes_version = 0;    ///< 0 for none
  std::vector<BalancerAge> balancers;  ///< live balancers, without the sender
  std::vector<ListedAgent> agents;
  std::string health_check_path;  ///< of the receiving agent's service; may be empty
  std::size_t agent_count = 0;    ///< number of agents that the sender knows
  bool wants_answer = false;      ///< asks an agent for a report, a balancer for a full listing
  bool wants_fellows = false;     ///< asks an agent for the other agents that it knows
  bool is_learning = false;       ///< the sender may not know all agents yet
  /// How long ago the store confirmed that `routes_version` is its newest configuration, as far as
  /// the sender knows.
  std::optional<base::Duration> store_age;
  EvacuatedZones evacuated;           ///< newest value that the sender knows
  std::optional<WarmUpRate> warm_up;  ///< of the receiving agent's service
  std::vector<RequestClass> classes;  ///< of the receiving agent's service; empty if unknown
  /// Last report on the receiving agent's endpoint from before the agent was restarted.
  std::optional<AgentReport> memory;
  base::Duration memory_age{0};  ///< age of `memory`
};

/// The agents that a node knows. The store keeps it for nodes that start and know no agent.
struct AgentListing {
  std::vector<ListedAgent> agents;  ///< a random sample if there are more than the listing's limit
  std::size_t agent_count = 0;      ///< total number of agents in the deployment
};

using NodeMessage = std::variant<AgentReport, BalancerGreeting>;

/// Serializes the listing for the store.
std::string EncodeAgentListing(const AgentListing& listing);

/// Parses a listing. Returns nothing if `bytes` is malformed.
/// @param port  the port of all nodes
std::optional<AgentListing> DecodeAgentListing(std::string_view bytes, std::uint16_t port);

/// Returns the datagram that carries the message.
std::string EncodeNodeMessage(const NodeMessage& message);

/// Parses the message that follows a control header. Returns nothing if it is malformed.
/// @param datagram  the whole datagram, with the header
/// @param port  the port of all nodes
std::optional<NodeMessage> DecodeNodeMessage(std::span<const std::uint8_t> datagram,
                                             std::uint16_t port);

}  // namespace gaugevalve::placement
