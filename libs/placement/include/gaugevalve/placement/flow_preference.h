/// @file
/// Which few endpoints of a service a flow goes to before all others: where it is placed, as far as
/// their load allows, and so where it is looked for first.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "gaugevalve/placement/agent_directory.h"

namespace gaugevalve::placement {

/// Endpoints of each zone and service in one tier of a flow's order. Eight: with the endpoints of
/// seven zones it fills one search's route, and at a load of 0.7 all eight of a zone are busy for
/// one opening in 17 (0.7^8), which goes to another zone then.
inline constexpr std::size_t kPreferredPerZone = 8;

/// An agent's place in a flow's order.
struct RankedAgent {
  KnownAgent* agent = nullptr;
  std::size_t tier = 0;    ///< 0: the first kPreferredPerZone of its zone and service, and so on
  std::uint64_t hash = 0;  ///< of flow and agent: the order within a zone
};

/// Ranks agents for a flow by rendezvous hashing, each zone and service by itself. Every balancer
/// that knows the same agents has the same order, and one that comes or goes shifts the others by
/// one place at most: so whoever knows nothing of a flow finds its holder among a number of agents
/// that doesn't grow with the fleet. Answers the load after all balancers were lost, when each of
/// them has to find thousands of flows.
/// @param flow_hash  FlowHash() of the flow, or another number of its own
/// @return  all of `agents`, by service, zone and place
std::vector<RankedAgent> RankForFlow(std::uint64_t flow_hash, std::span<KnownAgent* const> agents);

/// Returns the agents of the first tier: up to kPreferredPerZone of each zone and service.
std::vector<KnownAgent*> PreferredForFlow(std::uint64_t flow_hash,
                                          std::span<KnownAgent* const> agents);

}  // namespace gaugevalve::placement
