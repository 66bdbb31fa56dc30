/// @file
/// Queries to agents from which nothing was received, and which agents don't answer.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <functional>
#include <vector>

#include "gaugevalve/base/rate_budget.h"
#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/base/time.h"

namespace gaugevalve::placement {

/// Decision core. Queries an agent at once and a few times more, then gives it up. An agent that
/// was given up is queried at a longer interval, so that its return is noticed soon. The query rate
/// and the number of agents are bounded. Not thread-safe.
class AgentQueries {
 public:
  /// @param max_queries  number of unanswered queries after which an agent is given up
  explicit AgentQueries(unsigned max_queries) : m_max_queries(max_queries) {}

  /// Interval between two queries to the same agent. It is short so that a simultaneously
  /// restarting agent is found soon after it is up: in logs of full restarts, agents were up after
  /// 0.66 to 0.85 s and balancers after 0.87 to 1.16 s.
  static constexpr base::Duration kRetryPause = std::chrono::milliseconds(250);

  /// Adds an agent to query, unless it is already being queried.
  /// @return  whether to query it now; otherwise TakeDue() returns it later
  bool Ask(const base::SocketAddress& agent, base::TimePoint now);

  /// Records a message from the agent and stops querying it.
  void NoteActivity(const base::SocketAddress& agent);

  /// Returns the agents to query now, for the first time or again. Call a few times a second.
  std::vector<base::SocketAddress> TakeDue(base::TimePoint now);

  /// Removes the agents for which `is_gone` returns true.
  void Forget(const std::function<bool(const base::SocketAddress&)>& is_gone);

  /// Returns whether the agent was queried and its answer is overdue.
  bool IsOverdue(const base::SocketAddress& agent, base::TimePoint now) const;

  /// Returns whether the agent has been given up.
  bool IsGivenUp(const base::SocketAddress& agent) const;

  /// Return the number of agents that were queried and sent nothing, and how many of them were
  /// given up.
  std::size_t Count() const { return m_queries.size(); }
  std::size_t GivenUpCount() const { return m_given_up; }

 private:
  // 1,000 queries a second. The reports sent in answer take less than 130 KB a second, and a fleet
  // of 3,800 agents is queried within four seconds.
  static constexpr std::size_t kQueriesPerPeriod = 250;
  static constexpr base::Duration kBudgetPeriod = std::chrono::milliseconds(250);

  struct Query {
    base::TimePoint first_at{};
    base::TimePoint next_at{};
    unsigned asked = 0;  // number of queries sent
    bool is_given_up = false;
  };

  static void NoteAsked(Query& query, base::TimePoint now);

  unsigned m_max_queries;
  std::size_t m_given_up = 0;
  // By agent; agents that have sent a message are removed.
  absl::flat_hash_map<base::SocketAddress, Query> m_queries;
  base::RateBudget m_budget{kQueriesPerPeriod, kBudgetPeriod};
};

}  // namespace gaugevalve::placement
