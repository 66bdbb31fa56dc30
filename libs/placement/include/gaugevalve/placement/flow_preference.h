/// @file
/// Preferred endpoints of a flow: the flow is placed on one of them if their load allows it, and
/// searches for its holder ask them first.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "gaugevalve/placement/agent_directory.h"

namespace gaugevalve::placement {

/// Number of endpoints of each zone and service in one tier of a flow's order. The first tiers of
/// seven zones fill the route of one search. At a load of 0.7 all eight endpoints of a
/// zone are busy for one opening in 17 (0.7^8), which then goes to another zone.
inline constexpr std::size_t kPreferredPerZone = 8;

/// An agent's rank for one flow.
struct RankedAgent {
  KnownAgent* agent = nullptr;
  std::size_t tier = 0;    ///< rank in its zone and service, divided by kPreferredPerZone
  std::uint64_t hash = 0;  ///< of flow and agent: the order within a zone
};

/// Ranks agents for a flow by rendezvous hashing, separately for each zone and service. All
/// balancers that know the same agents compute the same order, and an added or removed agent shifts
/// the others by at most one rank. A balancer without a record of a flow therefore finds its holder
/// among a number of agents that does not grow with the fleet. This bounds the load after the loss
/// of all balancers, when each new one has to find thousands of flows.
/// @param flow_hash  FlowHash() of the flow, or another number specific to it
/// @return  all of `agents`, ordered by service, zone and rank
std::vector<RankedAgent> RankForFlow(std::uint64_t flow_hash, std::span<KnownAgent* const> agents);

/// Returns the agents of the first tier: up to kPreferredPerZone of each zone and service.
std::vector<KnownAgent*> PreferredForFlow(std::uint64_t flow_hash,
                                          std::span<KnownAgent* const> agents);

}  // namespace gaugevalve::placement
