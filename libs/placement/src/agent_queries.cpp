#include "gaugevalve/placement/agent_queries.h"

namespace gaugevalve::placement {
namespace {

// Maximum number of agents that are queried at a time; the same as the directory's limit.
constexpr std::size_t kMaxQueriedAgents = 8'192;
// Answers usually arrive within some milliseconds, and within some tens from an agent with a
// backlog that has 0.15 of a core. The time-out lies between that and the 200 ms after which
// clients retransmit.
constexpr base::Duration kAnswerTimeout = std::chrono::milliseconds(100);
// Interval between queries to an agent that was given up. The agent's own reports may be 16 s
// apart, and the flows that it holds must not count as lost for that long after a partition has
// healed.
constexpr base::Duration kGivenUpRetryInterval = std::chrono::seconds(1);

}  // namespace

void AgentQueries::NoteAsked(Query& query, base::TimePoint now) {
  query.next_at = now + (query.is_given_up ? kGivenUpRetryInterval : kRetryPause);
  ++query.asked;
}

bool AgentQueries::Ask(const base::SocketAddress& agent, base::TimePoint now) {
  if (m_queries.contains(agent) || m_queries.size() >= kMaxQueriedAgents) {
    return false;
  }
  Query& query = m_queries[agent];
  query.first_at = now;
  query.next_at = now;
  if (!m_budget.Take(now)) {
    return false;
  }
  NoteAsked(query, now);
  return true;
}

void AgentQueries::NoteActivity(const base::SocketAddress& agent) {
  const auto found = m_queries.find(agent);
  if (found == m_queries.end()) {
    return;
  }
  m_given_up -= found->second.is_given_up ? 1 : 0;
  m_queries.erase(found);
}

std::vector<base::SocketAddress> AgentQueries::TakeDue(base::TimePoint now) {
  std::vector<base::SocketAddress> due;
  for (auto& [agent, query] : m_queries) {
    if (now < query.next_at) {
      continue;
    }
    if (!query.is_given_up && query.asked >= m_max_queries) {
      query.is_given_up = true;
      ++m_given_up;
    }
    if (m_budget.Take(now)) {
      NoteAsked(query, now);
      due.push_back(agent);
    }
  }
  return due;
}

void AgentQueries::Forget(const std::function<bool(const base::SocketAddress&)>& is_gone) {
  absl::erase_if(m_queries, [&](const auto& entry) {
    const bool is_forgotten = is_gone(entry.first);
    m_given_up -= is_forgotten && entry.second.is_given_up ? 1 : 0;
    return is_forgotten;
  });
}

bool AgentQueries::IsOverdue(const base::SocketAddress& agent, base::TimePoint now) const {
  const auto found = m_queries.find(agent);
  return found != m_queries.end() && found->second.asked > 0 &&
         now - found->second.first_at > kAnswerTimeout;
}

bool AgentQueries::IsGivenUp(const base::SocketAddress& agent) const {
  const auto found = m_queries.find(agent);
  return found != m_queries.end() && found->second.is_given_up;
}

}  // namespace gaugevalve::placement
