/// @file
/// How a balancer that knows few agents finds the others, and when it has found all.
#pragma once

#include <cstddef>
#include <functional>
#include <vector>

#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/placement/agent_queries.h"

namespace gaugevalve::placement {

/// Decision core. Agents are named by peers, by other agents and by the store; each named agent
/// that hasn't been heard is asked for a report, a few times and at a bounded rate. A balancer has
/// found all once it has heard nearly as many, or heard or given up as many, as the deployment is
/// said to have: until then "no agent holds this flow" may just mean that the holder isn't known
/// yet. Not thread-safe.
class AgentDiscovery {
 public:
  AgentDiscovery();

  /// Notes how many agents the deployment has, as a node says that knew them.
  void NoteAgentCount(std::size_t agents);

  /// Notes an agent that somebody named and that hasn't been heard.
  /// @return  whether it is to be asked now; otherwise TakeDueQueries() names it later
  bool TakeNamed(const base::SocketAddress& agent, base::TimePoint now) {
    return m_questions.Ask(agent, now);
  }

  /// Notes that the agent has been heard.
  void NoteHeard(const base::SocketAddress& agent) { m_questions.NoteHeard(agent); }

  /// Returns whether an agent that has just been heard is to be asked which others it knows, and
  /// counts it as asked: the first few are, and more while agents are missing.
  bool TakePeerListQuery(std::size_t heard);

  /// Returns the agents to be asked now, again or for the first time. Call a few times a second.
  std::vector<base::SocketAddress> TakeDueQueries(base::TimePoint now) {
    return m_questions.TakeDue(now);
  }

  /// Returns whether the agent was named and has answered none of its questions.
  bool IsGivenUp(const base::SocketAddress& agent) const { return m_questions.IsGivenUp(agent); }

  /// Forgets the named agents for which `is_gone` holds.
  void Forget(const std::function<bool(const base::SocketAddress&)>& is_gone) {
    m_questions.Forget(is_gone);
  }

  /// Returns how many agents there are, as others say; 0 where nobody has said.
  std::size_t AgentCount() const { return m_agent_count; }
  bool HasCount() const { return m_agent_count > 0; }

  /// Returns whether there are more agents than have been heard or named.
  bool HasUnnamedAgents(std::size_t heard) const;

  /// Returns whether an agent that was named may still answer.
  bool IsWaiting() const { return m_questions.Count() > m_questions.GivenUpCount(); }

  /// Returns whether all agents have been heard or asked in vain, or nearly all heard.
  /// @param heard  agents that have been heard
  bool IsComplete(std::size_t heard) const;

  /// Returns how many agents didn't answer any question.
  std::size_t UnreachableCount() const { return m_questions.GivenUpCount(); }

 private:
  std::size_t m_agent_count = 0;
  std::size_t m_fellows_asked = 0;  // agents that were asked which others they know
  AgentQueries m_questions;
};

}  // namespace gaugevalve::placement
