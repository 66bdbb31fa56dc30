#include "gaugevalve/placement/report_schedule.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "placement_fixture.h"

namespace gaugevalve::placement {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::At;
using testing::Node;

class ReportScheduleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReportScheduleTest);
  CPPUNIT_TEST(TheFirstRoundIsDueAtOnce);
  CPPUNIT_TEST(AnAgentsFirstRoundsAreShort);
  CPPUNIT_TEST(RoundsAreShortInSmallDeployments);
  CPPUNIT_TEST(ReportsPerBalancerAreBounded);
  CPPUNIT_TEST(ReportsPerAgentAreBounded);
  CPPUNIT_TEST(ABalancerThatUsesTheAgentGetsReportsBetweenRounds);
  CPPUNIT_TEST(ReportsBetweenRoundsAreRateLimited);
  CPPUNIT_TEST(ARoundCountsAsAReportToUsers);
  CPPUNIT_TEST(ShortRoundsNeedNoReportsBetweenThem);
  CPPUNIT_TEST(ALongRoundIsSpreadOverItsPeriod);
  CPPUNIT_TEST(AShortRoundIsNotSpread);
  CPPUNIT_TEST(AgentsReportToBalancersInDifferentOrders);
  CPPUNIT_TEST(ReportingToAllAtOnceDoesNotEndASpreadRound);
  CPPUNIT_TEST(AnswersAreRateLimited);
  CPPUNIT_TEST(ALongerPeriodIsReportedBeforeReportsAreMissed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { Round(1, 1, At(-60'000)); }

  void TheFirstRoundIsDueAtOnce() { CPPUNIT_ASSERT(ReportSchedule().IsRoundDue(At(0))); }

  // After a restart of all nodes, balancers that started later than the agent have missed its first
  // round.
  void AnAgentsFirstRoundsAreShort() {
    ReportSchedule young;
    young.SetAgentCount(214);
    young.NoteRound(84, At(0));
    CPPUNIT_ASSERT(young.Period() <= milliseconds(500));
    young.NoteRound(660, At(2000));
    CPPUNIT_ASSERT(young.Period() >= seconds(1));
    young.NoteRound(84, At(4000));
    CPPUNIT_ASSERT(young.Period() > seconds(10));
  }

  void RoundsAreShortInSmallDeployments() {
    Round(4, 2, At(0));
    CPPUNIT_ASSERT(ReportSchedule::kMinPeriod == m_schedule.Period());
    CPPUNIT_ASSERT(!m_schedule.IsRoundDue(At(199)));
    CPPUNIT_ASSERT(m_schedule.IsRoundDue(At(200)));
  }

  void ReportsPerBalancerAreBounded() {
    constexpr std::size_t kAgents = 3'800;  // the target fleet size in CONTRIBUTING
    const base::Duration period = ReportSchedule::RoundPeriod(660, kAgents);
    CPPUNIT_ASSERT(period >= milliseconds(80) * static_cast<int>(kAgents));
  }

  void ReportsPerAgentAreBounded() {
    CPPUNIT_ASSERT(ReportSchedule::RoundPeriod(660, 10) >= milliseconds(25) * 660);
  }

  void ABalancerThatUsesTheAgentGetsReportsBetweenRounds() {
    Round(84, 214, At(0));
    CPPUNIT_ASSERT(m_schedule.Period() > seconds(2));
    m_schedule.NoteUse(Node(1));
    CPPUNIT_ASSERT(m_schedule.TakeUsers(At(100)).empty());  // the round has just reported to it
    const std::vector<base::SocketAddress> users = m_schedule.TakeUsers(At(200));
    CPPUNIT_ASSERT(users == std::vector<base::SocketAddress>{Node(1)});
  }

  void ReportsBetweenRoundsAreRateLimited() {
    Round(84, 214, At(0));
    m_schedule.NoteUse(Node(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_schedule.TakeUsers(At(500)).size());
    CPPUNIT_ASSERT(m_schedule.TakeUsers(At(1000)).empty());  // not used since
    m_schedule.NoteUse(Node(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_schedule.TakeUsers(At(1000)).size());
    m_schedule.NoteUse(Node(1));
    CPPUNIT_ASSERT(m_schedule.TakeUsers(At(1199)).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_schedule.TakeUsers(At(1200)).size());
  }

  void ARoundCountsAsAReportToUsers() {
    Round(84, 214, At(0));
    m_schedule.NoteUse(Node(1));
    Round(84, 214, At(9000));
    CPPUNIT_ASSERT(m_schedule.TakeUsers(At(9500)).empty());
  }

  void ShortRoundsNeedNoReportsBetweenThem() {
    Round(4, 2, At(0));
    m_schedule.NoteUse(Node(1));
    CPPUNIT_ASSERT(m_schedule.TakeUsers(At(10'000)).empty());
  }

  void ALongRoundIsSpreadOverItsPeriod() {
    BeginRound(m_schedule, 1, 6'000);
    const base::Duration period = m_schedule.Period();
    std::size_t told = 0;
    std::size_t most = 0;
    for (base::TimePoint now = At(6'000); now < At(6'000) + period; now += milliseconds(50)) {
      const std::size_t share = m_schedule.TakeShare(now).size();
      told += share;
      most = std::max(most, share);
    }
    told += m_schedule.TakeShare(At(6'000) + period).size();
    CPPUNIT_ASSERT_EQUAL(kBalancers, told);
    CPPUNIT_ASSERT(most <= 2);
  }

  void AShortRoundIsNotSpread() {
    m_schedule.SetAgentCount(2);
    m_schedule.BeginRound({Node(1), Node(2), Node(3)}, 1, At(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_schedule.TakeShare(At(0)).size());
  }

  // A balancer that has just started hears some agents at once. With the same order at all agents
  // it would hear all of them at one moment, up to a whole period later.
  void AgentsReportToBalancersInDifferentOrders() {
    constexpr std::uint64_t kAgentCount = 204;
    std::set<std::int64_t> heard;  // times in units of 500 ms
    for (std::uint64_t agent = 0; agent < kAgentCount; ++agent) {
      ReportSchedule schedule;
      schedule.SetAgentCount(kAgentCount);
      schedule.SetAgentCount(kAgentCount);
      schedule.NoteRound(kBalancers, At(-60'000));
      BeginRound(schedule, agent, 0);
      for (int time = 0; time < 20'000; time += 50) {
        const auto share = schedule.TakeShare(At(time));
        if (std::find(share.begin(), share.end(), Node(7)) != share.end()) {
          heard.insert(time / 500);
        }
      }
    }
    CPPUNIT_ASSERT(heard.size() > 25);  // of 33 units in a period of 16.3 s
  }

  void ReportingToAllAtOnceDoesNotEndASpreadRound() {
    BeginRound(m_schedule, 1, 6'000);
    m_schedule.TakeShare(At(7'000));
    m_schedule.NoteRound(kBalancers, At(7'000));
    CPPUNIT_ASSERT(!m_schedule.TakeShare(At(9'000)).empty());
  }

  // A balancer takes an agent for lost after three of the periods that the agent last reported.
  // Periods grow after an agent's first seconds, and when it learns the number of agents.
  void ALongerPeriodIsReportedBeforeReportsAreMissed() {
    struct Told {
      base::TimePoint at{};
      base::Duration period{0};
    };
    ReportSchedule schedule;
    std::map<std::string, Told> told;
    for (int time = 0; time < 60'000; time += 50) {
      if (time == 5'000) {
        schedule.SetAgentCount(204);
      }
      if (schedule.IsRoundDue(At(time))) {
        schedule.BeginRound(Balancers(), 3, At(time));
      }
      for (const base::SocketAddress& balancer : schedule.TakeShare(At(time))) {
        told[balancer.ToString()] = {At(time), schedule.Period()};
      }
      CPPUNIT_ASSERT_EQUAL(kBalancers, told.size());
      for (const auto& [balancer, last] : told) {
        CPPUNIT_ASSERT(At(time) - last.at <= std::max<base::Duration>(seconds(4), 3 * last.period));
      }
    }
    CPPUNIT_ASSERT(schedule.Period() > seconds(10));
  }

  void AnswersAreRateLimited() {
    int answered = 0;
    for (int question = 0; question < 660; ++question) {
      answered += m_schedule.TakeAnswer(At(10'000)) ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(100, answered);
    CPPUNIT_ASSERT(m_schedule.TakeAnswer(At(10'100)));
  }

 private:
  static constexpr std::size_t kBalancers = 91;

  static std::vector<base::SocketAddress> Balancers() {
    std::vector<base::SocketAddress> balancers;
    for (std::uint32_t number = 1; number <= kBalancers; ++number) {
      balancers.push_back(Node(number));
    }
    return balancers;
  }

  // Begins a round in which all balancers have got its period.
  static void BeginRound(ReportSchedule& schedule, std::uint64_t salt, int time) {
    schedule.SetAgentCount(204);
    schedule.BeginRound(Balancers(), salt, At(time));
    schedule.TakeShare(At(time));
  }

  void Round(std::size_t balancers, std::size_t agents, base::TimePoint now) {
    m_schedule.SetAgentCount(agents);
    m_schedule.NoteRound(balancers, now);
  }

  ReportSchedule m_schedule;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReportScheduleTest);

}  // namespace
}  // namespace gaugevalve::placement
