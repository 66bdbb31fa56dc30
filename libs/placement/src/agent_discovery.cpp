#include "gaugevalve/placement/agent_discovery.h"

#include <algorithm>

namespace gaugevalve::placement {
namespace {

// A named agent is given up after 1.25 s. A client's flow whose endpoint has gone waits for that.
constexpr unsigned kMostQuestions = 5;
// With this part of the agents heard, a flow that none of them holds has most likely ended: after a
// total stop some agents don't come back, and each client whose flow has gone waits for a reset.
constexpr std::size_t kEnoughPercent = 95;
constexpr std::size_t kPercent = 100;
// Agents that are asked for the others they know, whoever else answers; more only while some miss.
constexpr std::size_t kFellowsAskedFirst = 4;

}  // namespace

AgentDiscovery::AgentDiscovery() : m_questions(kMostQuestions) {}

void AgentDiscovery::NoteAgentCount(std::size_t agents) {
  m_agent_count = std::max(m_agent_count, agents);
}

bool AgentDiscovery::HasUnnamedAgents(std::size_t heard) const {
  return heard + m_questions.Count() < m_agent_count;
}

bool AgentDiscovery::TakePeerListQuery(std::size_t heard) {
  if (m_fellows_asked >= kFellowsAskedFirst && !HasUnnamedAgents(heard)) {
    return false;
  }
  ++m_fellows_asked;
  return true;
}

bool AgentDiscovery::IsComplete(std::size_t heard) const {
  if (!HasCount()) {
    return false;
  }
  const std::size_t all = std::max(m_agent_count, heard + m_questions.Count());
  const bool has_nearly_all = heard * kPercent >= all * kEnoughPercent;
  const bool has_tried_all = !IsWaiting() && heard + UnreachableCount() >= m_agent_count;
  return has_nearly_all || has_tried_all;
}

}  // namespace gaugevalve::placement
