/// @file
/// Whether the listing of agents in the store is up to date.
#pragma once

#include <concepts>
#include <cstddef>
#include <vector>

#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/placement/node_message.h"

namespace gaugevalve::placement {

/// Decision core of the balancer that maintains the stored listing, which is read by balancers that
/// start without knowing any agent. Each listed agent that has gone costs every such balancer
/// unanswered queries, and until the balancer has given up the agent it resets no flow without a
/// holder. Not thread-safe.
class StoredListing {
 public:
  /// Maximum number of listed agents, 4 KB in total. Each listed agent knows other agents.
  static constexpr std::size_t kMaxAgents = 256;

  /// Records that the store has accepted the listing.
  void NoteStored(const AgentListing& listing);

  /// Records that the store is not known to have accepted a listing, so that it is written again.
  void NoteNotStored();

  /// Returns whether the listing has to be rewritten: it contains an agent that has gone, omits an
  /// agent although there is room, or its number of agents is off by more than one in twenty.
  /// @param agent_count  number of present agents
  /// @param is_gone  returns whether the agent at an address has gone
  template <std::predicate<const base::SocketAddress&> Condition>
  bool IsOutdated(std::size_t agent_count, Condition is_gone) const {
    if (IsCountOutdated(agent_count)) {
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
  bool IsCountOutdated(std::size_t agent_count) const;

  std::vector<base::SocketAddress> m_named;
  std::size_t m_agent_count = 0;  // 0 if nothing is stored
};

}  // namespace gaugevalve::placement
