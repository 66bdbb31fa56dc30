/// @file
/// When an agent tells which balancer about itself.
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

/// An agent reports to all balancers in rounds. The larger the deployment, the longer a round, so
/// that neither an agent nor a balancer spends more on reports than it may; a long round is spread
/// over its period, so that a balancer that has just started hears some agent at once, however many
/// there are. Balancers that use the
/// agent are told in between, and in an agent's first seconds rounds are short, as after a restart
/// of all nodes each has to hear of each: who places flows on it knows its load, whatever the
/// round's length, and who hears nothing after an opening knows that the agent has gone. Not
/// thread-safe.
class ReportSchedule {
 public:
  /// The least time between two reports to one balancer.
  static constexpr base::Duration kMinPeriod = std::chrono::milliseconds(200);

  /// @param balancers  that the agent reports to
  /// @param agents  that each of them hears
  /// @return  the time from one round to the next, but for an agent's first seconds
  static base::Duration RoundPeriod(std::size_t balancers, std::size_t agents);

  /// Notes how many agents the balancers hear, as one of them said.
  void SetAgentCount(std::size_t agents) { m_agents = agents; }
  std::size_t AgentCount() const { return m_agents; }

  /// Returns whether the present round is over.
  bool IsRoundDue(base::TimePoint now) const {
    return now - m_round_at >= m_period && m_reported_count == m_round.size();
  }

  /// Notes that a round begins in which all balancers are told at once.
  /// @param balancers  how many are told in it
  void NoteRound(std::size_t balancers, base::TimePoint now);

  /// Begins the next round, spread over its period unless that is short. TakeShare() says who is to
  /// be told when.
  /// @param salt  of the agent's own: each goes through the balancers in another order
  void BeginRound(std::vector<base::SocketAddress> balancers, std::uint64_t salt,
                  base::TimePoint now);

  /// Returns the balancers whose turn in the round has come.
  std::vector<base::SocketAddress> TakeShare(base::TimePoint now);

  /// Returns whether one more balancer that asks may be answered now.
  bool TakeAnswer(base::TimePoint now) { return m_answers.Take(now); }

  /// Returns the time to the next round, as of the last one.
  base::Duration Period() const { return m_period; }

  /// Notes that `balancer` has passed the agent an opening packet.
  void NoteUse(const base::SocketAddress& balancer);

  /// Returns the balancers to be told before the next round, and counts them as told.
  std::vector<base::SocketAddress> TakeUsers(base::TimePoint now);

 private:
  // 1,000 answers a second: 130 KB. Who gets none asks again.
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
  base::TimePoint m_all_reported_at{};       // at once, in a round that wasn't spread
  std::vector<base::SocketAddress> m_round;  // balancers of a spread round, in order
  std::size_t m_reported_count = 0;          // of them
  bool m_reports_to_all = false;             // the round begins by telling all at once
  base::RateBudget m_answers{kAnswersPerPeriod, kAnswerPeriod};
  std::optional<base::TimePoint> m_first_round_at;
  absl::flat_hash_map<base::SocketAddress, User> m_users;  // since the last round
};

}  // namespace gaugevalve::placement
