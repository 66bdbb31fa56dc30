/// @file
/// Other agents known to an agent, listed to balancers that have just started.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "gaugevalve/placement/agent_report.h"

namespace gaugevalve::placement {

/// A bounded sample of the deployment's agents, updated from balancers' greetings. If all balancers
/// are lost together, only agents still know other agents. A sample is enough because each agent in
/// it holds another sample. Not thread-safe.
class PeerAgentList {
 public:
  /// Maximum number of entries. A full list and the report fit into a datagram of 1,400 bytes.
  static constexpr std::size_t kLimit = 64;

  /// @param self  address that is never listed
  explicit PeerAgentList(const base::SocketAddress& self) : m_self(self) {}

  /// Adds agents that a balancer knows. When the list is full, they replace the entries that
  /// have not been named for longest.
  void Take(std::span<const ListedAgent> agents);

  /// Returns the entries that were among the last few hundred agents named. Age is measured in
  /// names, not in time, so that the list is kept while no balancer is there to name any agent.
  std::vector<ListedAgent> List() const;

 private:
  struct Entry {
    ListedAgent agent;
    std::uint64_t last_naming = 0;  // value of the naming counter when it was last named
  };

  void TakeOne(const ListedAgent& agent);

  base::SocketAddress m_self;
  std::vector<Entry> m_entries;
  std::uint64_t m_naming_count = 0;  // number of agents named so far
};

}  // namespace gaugevalve::placement
