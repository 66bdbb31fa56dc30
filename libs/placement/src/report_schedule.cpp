#include "gaugevalve/placement/report_schedule.h"

#include <algorithm>
#include <utility>

#include "gaugevalve/base/hash.h"
#include "gaugevalve/placement/flow_hash.h"

namespace gaugevalve::placement {
namespace {

// Limits the reports that an agent sends in rounds to 40 a second.
constexpr base::Duration kPeriodPerBalancer = std::chrono::milliseconds(25);
// Limits the reports that a balancer gets in rounds to 12.5 a second, or 1.6 KB a second with
// headers.
constexpr base::Duration kPeriodPerAgent = std::chrono::milliseconds(80);
// In the first kJoiningTime after its start an agent's rounds last at most kJoiningPeriod, or
// kJoiningPeriodPerBalancer for each balancer if that is longer.
constexpr base::Duration kJoiningTime = std::chrono::seconds(3);
constexpr base::Duration kJoiningPeriod = std::chrono::milliseconds(500);
constexpr base::Duration kJoiningPeriodPerBalancer = std::chrono::milliseconds(2);
// Rounds up to this length are not spread. It is the length of an agent's first rounds.
constexpr base::Duration kSpreadThreshold = std::chrono::milliseconds(500);
// If a period grows by more than this factor, a report with the new period goes to all balancers
// first: they take an agent for lost after three of the periods that it last reported.
constexpr int kMaxUnreportedGrowth = 2;
// Maximum number of balancers noted as users between two rounds. Others get the round's report.
constexpr std::size_t kUserLimit = 4'096;

}  // namespace

base::Duration ReportSchedule::RoundPeriod(std::size_t balancers, std::size_t agents) {
  return std::max({kMinPeriod, kPeriodPerBalancer * static_cast<int>(balancers),
                   kPeriodPerAgent * static_cast<int>(agents)});
}

base::Duration ReportSchedule::NextPeriod(std::size_t balancers, base::TimePoint now) {
  if (!m_first_round_at) {
    m_first_round_at = now;
  }
  const bool is_joining = now - *m_first_round_at < kJoiningTime;
  const base::Duration joining_period =
      std::max(kJoiningPeriod, kJoiningPeriodPerBalancer * static_cast<int>(balancers));
  const base::Duration period = RoundPeriod(balancers, m_agents);
  return is_joining ? std::min(period, joining_period) : period;
}

void ReportSchedule::NoteRound(std::size_t balancers, base::TimePoint now) {
  m_all_reported_at = now;
  m_users.clear();
  const bool is_spread = m_period > kSpreadThreshold && now - m_round_at < m_period;
  if (is_spread) {
    return;  // the spread round continues: a balancer that starts now gets a report in its turn
  }
  m_period = NextPeriod(balancers, now);
  m_round_at = now;
  m_round.clear();
  m_reported_count = 0;
}

void ReportSchedule::BeginRound(std::vector<base::SocketAddress> balancers, std::uint64_t salt,
                                base::TimePoint now) {
  const base::Duration before = m_period;
  m_period = NextPeriod(balancers.size(), now);
  // Balancers judge the agent's silence by the period that it last reported to them.
  m_reports_to_all = m_period <= kSpreadThreshold || m_period > before * kMaxUnreportedGrowth;
  m_round_at = now;
  const auto rank = [salt](const base::SocketAddress& balancer) {
    return base::HashPair(salt, AddressHash(balancer));
  };
  // The order is the same in each round, so that each balancer gets one report per period.
  std::sort(balancers.begin(), balancers.end(),
            [&](const auto& left, const auto& right) { return rank(left) < rank(right); });
  m_round = std::move(balancers);
  m_reported_count = 0;
  if (m_reports_to_all) {
    m_all_reported_at = now;
    m_users.clear();
  }
  absl::erase_if(m_users, [](const auto& entry) { return !entry.second.is_due; });
}

std::vector<base::SocketAddress> ReportSchedule::TakeShare(base::TimePoint now) {
  if (std::exchange(m_reports_to_all, false)) {
    m_reported_count = m_period <= kSpreadThreshold ? m_round.size() : 0;
    return m_round;
  }
  std::size_t due = m_round.size();
  if (now - m_round_at < m_period) {
    due = m_round.size() * static_cast<std::size_t>((now - m_round_at).count()) /
          static_cast<std::size_t>(m_period.count());
  }
  due = std::max(due, m_reported_count);
  const auto begin = m_round.begin();
  std::vector<base::SocketAddress> share(begin + static_cast<std::ptrdiff_t>(m_reported_count),
                                         begin + static_cast<std::ptrdiff_t>(due));
  m_reported_count = due;
  return share;
}

void ReportSchedule::NoteUse(const base::SocketAddress& balancer) {
  if (m_period <= kMinPeriod) {
    return;  // the next round comes as early as a report between rounds would
  }
  if (m_users.size() < kUserLimit || m_users.contains(balancer)) {
    m_users[balancer].is_due = true;
  }
}

std::vector<base::SocketAddress> ReportSchedule::TakeUsers(base::TimePoint now) {
  std::vector<base::SocketAddress> users;
  for (auto& [balancer, user] : m_users) {
    const base::TimePoint reported_at = std::max(user.reported_at, m_all_reported_at);
    if (user.is_due && now - reported_at >= kMinPeriod) {
      user = {now, false};
      users.push_back(balancer);
    }
  }
  return users;
}

}  // namespace gaugevalve::placement
