/// @file
/// Whether the listing of agents in a store is up to date.
#pragma once

#include <concepts>
#include <cstddef>
#include <vector>

#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/placement/node_message.h"

namespace gaugevalve::placement {

/// Decision core of the balancer that keeps the listing for balancers that will know no agent. Each
/// agent that the listing names and that has gone is asked in vain by all of them, and until they
/// give it up they reset no flow that nobody holds. Not thread-safe.
class StoredListing {
 public:
  /// Agents that a listing names at most: 4 KB. Each of them knows others.
  static constexpr std::size_t kMaxAgents = 256;

  /// Notes that the store has taken the listing.
  void NoteStored(const AgentListing& listing);

  /// Notes that the store hasn't taken a listing, as far as is known: it is to be written again.
  void NoteNotStored();

  /// Returns whether the listing is to be written anew: it names an agent that has gone, or leaves
  /// out one although there is room, or its number of agents is off by more than one in twenty.
  /// @param agent_count  present agents
  /// @param is_gone  tells of an agent's address whether the agent has gone
  template <std::predicate<const base::SocketAddress&> Condition>
  bool IsOutdated(std::size_t agent_count, Condition is_gone) const {
    if (IsNumberOutdated(agent_count)) {
      return true;
    }
    for (const base::SocketAddress& agent : m_named) {
      if (is_gone(agent)) {
        return true;
      }
    }
    return false;
  }

 private:
  bool IsNumberOutdated(std::size_t agent_count) const;

  std::vector<base::SocketAddress> m_named;
  std::size_t m_agent_count = 0;  // 0: nothing is stored
};

}  // namespace gaugevalve::placement
