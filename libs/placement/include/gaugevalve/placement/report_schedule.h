/// @file
/// Schedules an agent's reports to the balancers.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "gaugevalve/base/rate_budget.h"
#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/base/time.h"

namespace gaugevalve::placement {

/// An agent reports to all balancers in rounds. Rounds get longer as the deployment grows, which
/// bounds the report rate of each agent and each balancer. The reports of a long round are spread
/// over its period, so that a balancer that has just started soon hears some agents, however many
/// there are. Between rounds the agent reports to the balancers that use it. A balancer that places
/// flows on the agent therefore knows its load at any round length, and one that hears nothing
/// after an opening knows that the agent is lost. Rounds are short in an agent's first seconds,
/// because after a restart of all nodes each balancer has to hear each agent. Not thread-safe.
class ReportSchedule {
 public:
  /// Minimum time between two reports to one balancer.
  static constexpr base::Duration kMinPeriod = std::chrono::milliseconds(200);

  /// @param balancers  number of balancers that the agent reports to
  /// @param agents  number of agents that report to each balancer
  /// @return  the time from one round to the next after an agent's first seconds
  static base::Duration RoundPeriod(std::size_t balancers, std::size_t agents);

  /// Sets the number of agents in the deployment, as reported by a balancer.
  void SetAgentCount(std::size_t agents) { m_agents = agents; }
  std::size_t AgentCount() const { return m_agents; }

  /// Returns whether the current round is over.
  bool IsRoundDue(base::TimePoint now) const {
    return now - m_round_at >= m_period && m_reported_count == m_round.size();
  }

  /// Notes that a round begins in which the agent reports to all balancers at once.
  /// @param balancers  number of balancers in the round
  void NoteRound(std::size_t balancers, base::TimePoint now);

  /// Begins the next round, which is spread over its period unless that is short. TakeShare()
  /// returns the balancers that are due.
  /// @param salt  specific to the agent, so that agents report to balancers in different orders
  void BeginRound(std::vector<base::SocketAddress> balancers, std::uint64_t salt,
                  base::TimePoint now);

  /// Returns the balancers of the round that have become due since the last call.
  std::vector<base::SocketAddress> TakeShare(base::TimePoint now);

  /// Returns whether the rate limit allows one more answer to a balancer's query, and counts it.
  bool TakeAnswer(base::TimePoint now) { return m_answers.Take(now); }

  /// Returns the period of the current round.
  base::Duration Period() const { return m_period; }

  /// Notes that `balancer` has forwarded an opening packet to the agent.
  void NoteUse(const base::SocketAddress& balancer);

  /// Returns the balancers to report to before the next round, and counts them as reported to.
  std::vector<base::SocketAddress> TakeUsers(base::TimePoint now);

 private:
  // 1,000 answers a second, or 130 KB a second. A balancer without an answer asks again.
  static constexpr std::size_t kAnswersPerPeriod = 100;
  static constexpr base::Duration kAnswerPeriod = std::chrono::milliseconds(100);

  struct User {
    base::TimePoint reported_at{};
    bool is_due = false;
  };

  base::Duration NextPeriod(std::size_t balancers, base::TimePoint now);

  std::size_t m_agents = 0;
  base::Duration m_period{0};
  base::TimePoint m_round_at{};
  base::TimePoint m_all_reported_at{};       // last report to all balancers at once
  std::vector<base::SocketAddress> m_round;  // balancers of the round, in order
  std::size_t m_reported_count = 0;          // balancers of m_round that have been reported to
  bool m_reports_to_all = false;             // the round begins with a report to all at once
  base::RateBudget m_answers{kAnswersPerPeriod, kAnswerPeriod};
  std::optional<base::TimePoint> m_first_round_at;
  absl::flat_hash_map<base::SocketAddress, User> m_users;  // balancers that use the agent
};

}  // namespace gaugevalve::placement
