/// @file
/// Other agents that an agent knows of, to name them to balancers that have just started.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "gaugevalve/placement/agent_report.h"

namespace gaugevalve::placement {

/// A bounded sample of the deployment's agents, renewed by what balancers tell. It outlives all
/// balancers: when they are lost together, agents are the only ones who know the agents. A sample
/// is enough, as each agent named by it has another one. Not thread-safe.
class PeerAgentList {
 public:
  /// Entries kept; all of them and the report fit a datagram of 1,400 bytes.
  static constexpr std::size_t kLimit = 64;

  /// @param self  is never listed
  explicit PeerAgentList(const base::SocketAddress& self) : m_self(self) {}

  /// Takes agents that a balancer has heard; where there is no room, they take the place of those
  /// that nobody has named for longest.
  void Take(std::span<const ListedAgent> agents);

  /// Returns the agents, without those that weren't among the last few hundred named. Time doesn't
  /// count: while no balancer is there to name any, the list is all that is known.
  std::vector<ListedAgent> List() const;

 private:
  struct Entry {
    ListedAgent agent;
    std::uint64_t name = 0;  // number of its last naming
  };

  void TakeOne(const ListedAgent& agent);

  base::SocketAddress m_self;
  std::vector<Entry> m_entries;
  std::uint64_t m_names = 0;  // taken so far
};

}  // namespace gaugevalve::placement
