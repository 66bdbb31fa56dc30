#include "gaugevalve/placement/agent_discovery.h"

#include <algorithm>

namespace gaugevalve::placement {
namespace {

// With this number of queries a named agent is given up after 1.25 s. A client whose flow's
// endpoint has gone waits that long for a reset.
constexpr unsigned kMaxQueriesPerAgent = 5;
// If this percentage of agents has reported, a flow held by none of them has most likely ended.
// After a full restart some agents don't come back, and each client whose flow has gone waits for a
// reset.
constexpr std::size_t kSufficientPercent = 95;
constexpr std::size_t kPercent = 100;
// Number of agents that are always asked for their lists of other agents. More are asked only while
// agents are missing.
constexpr std::size_t kInitialPeerListQueries = 4;

}  // namespace

AgentDiscovery::AgentDiscovery() : m_queries(kMaxQueriesPerAgent) {}

void AgentDiscovery::NoteAgentCount(std::size_t agents) {
  m_agent_count = std::max(m_agent_count, agents);
}

bool AgentDiscovery::HasUnnamedAgents(std::size_t reported) const {
  return reported + m_queries.Count() < m_agent_count;
}

bool AgentDiscovery::TakePeerListQuery(std::size_t reported) {
  if (m_peer_list_queries >= kInitialPeerListQueries && !HasUnnamedAgents(reported)) {
    return false;
  }
  ++m_peer_list_queries;
  return true;
}

bool AgentDiscovery::IsComplete(std::size_t reported) const {
  if (!HasCount()) {
    return false;
  }
  const std::size_t all = std::max(m_agent_count, reported + m_queries.Count());
  const bool has_nearly_all = reported * kPercent >= all * kSufficientPercent;
  const bool has_tried_all = !IsWaiting() && reported + UnreachableCount() >= m_agent_count;
  return has_nearly_all || has_tried_all;
}

}  // namespace gaugevalve::placement
