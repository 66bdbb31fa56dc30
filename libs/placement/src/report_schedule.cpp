#include "gaugevalve/placement/report_schedule.h"

#include <algorithm>

namespace gaugevalve::placement {
namespace {

// An agent sends at most 40 reports a second in rounds.
constexpr base::Duration kPeriodPerBalancer = std::chrono::milliseconds(25);
// A balancer hears at most 12.5 reports a second in rounds, 1.6 KB with headers.
constexpr base::Duration kPeriodPerAgent = std::chrono::milliseconds(80);
// In its first seconds an agent reports at least this often.
constexpr base::Duration kJoiningTime = std::chrono::seconds(3);
constexpr base::Duration kJoiningPeriod = std::chrono::milliseconds(500);
constexpr base::Duration kJoiningPeriodPerBalancer = std::chrono::milliseconds(2);
// Balancers noted between two rounds; the rest waits for the round.
constexpr std::size_t kUserLimit = 4'096;

}  // namespace

base::Duration ReportSchedule::RoundPeriod(std::size_t balancers, std::size_t agents) {
  return std::max({kShortestPeriod, kPeriodPerBalancer * static_cast<int>(balancers),
                   kPeriodPerAgent * static_cast<int>(agents)});
}

void ReportSchedule::NoteRound(std::size_t balancers, base::TimePoint now) {
  if (!m_first_round_at) {
    m_first_round_at = now;
  }
  const bool is_joining = now - *m_first_round_at < kJoiningTime;
  const base::Duration joining_period =
      std::max(kJoiningPeriod, kJoiningPeriodPerBalancer * static_cast<int>(balancers));
  m_period = RoundPeriod(balancers, m_agents);
  m_period = is_joining ? std::min(m_period, joining_period) : m_period;
  m_round_at = now;
  m_users.clear();
}

void ReportSchedule::NoteUse(const base::SocketAddress& balancer) {
  if (m_period <= kShortestPeriod) {
    return;  // the next round comes as soon
  }
  if (m_users.size() < kUserLimit || m_users.contains(balancer)) {
    m_users[balancer].is_waiting = true;
  }
}

std::vector<base::SocketAddress> ReportSchedule::TakeUsers(base::TimePoint now) {
  std::vector<base::SocketAddress> users;
  for (auto& [balancer, user] : m_users) {
    const base::TimePoint told_at = std::max(user.told_at, m_round_at);
    if (user.is_waiting && now - told_at >= kShortestPeriod) {
      user = {now, false};
      users.push_back(balancer);
    }
  }
  return users;
}

}  // namespace gaugevalve::placement
