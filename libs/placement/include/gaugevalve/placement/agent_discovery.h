/// @file
/// Discovery of agents by a balancer that knows only few of them, and the test whether discovery is
/// complete.
#pragma once

#include <cstddef>
#include <functional>
#include <vector>

#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/placement/agent_queries.h"

namespace gaugevalve::placement {

/// Decision core. Agents are named by peers, by other agents and by the store. Each named agent
/// that has not sent a report is asked for one a few times, at a bounded rate. Discovery is
/// complete when nearly as many agents have reported as the deployment has, or when all of them
/// have reported or been given up. Before that, a flow that no known agent holds may be held by an
/// agent not yet discovered. Not thread-safe.
class AgentDiscovery {
 public:
  AgentDiscovery();

  /// Records the deployment's number of agents, as stated by a node that knows them.
  void NoteAgentCount(std::size_t agents);

  /// Records an agent that was named by another node and has not reported.
  /// @return  whether to query it now; otherwise TakeDueQueries() returns it later
  bool TakeNamed(const base::SocketAddress& agent, base::TimePoint now) {
    return m_queries.Ask(agent, now);
  }

  /// Records a report from the agent.
  void NoteReport(const base::SocketAddress& agent) { m_queries.NoteActivity(agent); }

  /// Returns whether to ask an agent that has just reported for its list of other agents, and
  /// counts the query. The first few agents are asked, and more while some agents are still
  /// unnamed.
  bool TakePeerListQuery(std::size_t reported);

  /// Returns the agents to query now, for the first time or again. Call a few times a second.
  std::vector<base::SocketAddress> TakeDueQueries(base::TimePoint now) {
    return m_queries.TakeDue(now);
  }

  /// Returns whether the agent was named and has answered none of its queries.
  bool IsGivenUp(const base::SocketAddress& agent) const { return m_queries.IsGivenUp(agent); }

  /// Removes the named agents for which `is_gone` returns true.
  void Forget(const std::function<bool(const base::SocketAddress&)>& is_gone) {
    m_queries.Forget(is_gone);
  }

  /// Returns the deployment's number of agents as stated by others; 0 if not stated.
  std::size_t AgentCount() const { return m_agent_count; }
  bool HasCount() const { return m_agent_count > 0; }

  /// Returns whether there are more agents than have reported or been named.
  bool HasUnnamedAgents(std::size_t reported) const;

  /// Returns whether a named agent may still answer.
  bool IsWaiting() const { return m_queries.Count() > m_queries.GivenUpCount(); }

  /// Returns whether discovery is complete: nearly all agents have reported, or all have
  /// reported or been given up.
  /// @param reported  number of agents that have sent a report
  bool IsComplete(std::size_t reported) const;

  /// Returns the number of agents that answered none of their queries.
  std::size_t UnreachableCount() const { return m_queries.GivenUpCount(); }

 private:
  std::size_t m_agent_count = 0;
  std::size_t m_peer_list_queries = 0;  // queries for an agent's list of other agents
  AgentQueries m_queries;
};

}  // namespace gaugevalve::placement
