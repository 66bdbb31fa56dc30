#include "gaugevalve/placement/agent_reporter.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "placement_fixture.h"

namespace gaugevalve::placement {
namespace {

using testing::At;
using testing::Node;

class AgentReporterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AgentReporterTest);
  CPPUNIT_TEST(ANewBalancerIsAnswered);
  CPPUNIT_TEST(AKnownBalancerIsAnsweredWhenItAsks);
  CPPUNIT_TEST(NamedBalancersGetAReport);
  CPPUNIT_TEST(PeersAreListedOnRequest);
  CPPUNIT_TEST(TheNumberOfAgentsOutlivesTheBalancers);
  CPPUNIT_TEST(AnswersAreRateLimited);
  CPPUNIT_TEST(UrgentReportsGoToAllBalancers);
  CPPUNIT_TEST(ABalancerThatStartsAgainHearsTheAgentInItsRound);
  CPPUNIT_TEST(AnAgentWithoutGreetingsHasNoBalancer);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ANewBalancerIsAnswered() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Greet({}, 2, 0).size());
    CPPUNIT_ASSERT(Greet({}, 2, 10).empty());
  }

  void AKnownBalancerIsAnsweredWhenItAsks() {
    Greet({}, 2, 0);
    BalancerGreeting question;
    question.wants_answer = true;
    const std::vector<OutgoingReport> answers = Greet(question, 2, 10);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answers.size());
    CPPUNIT_ASSERT(answers.front().receivers == std::vector{Node(2)});
    CPPUNIT_ASSERT(answers.front().report.fellows.empty());
  }

  void NamedBalancersGetAReport() {
    BalancerGreeting greeting;
    greeting.balancers = {{Node(3), base::Duration(0)}, {Node(4), base::Duration(0)}};
    const std::vector<OutgoingReport> reports = Greet(greeting, 2, 0);
    CPPUNIT_ASSERT(reports.front().receivers == (std::vector{Node(3), Node(4)}));
  }

  void PeersAreListedOnRequest() {
    BalancerGreeting greeting;
    greeting.agents = {{Node(11), testing::orders_service}, {Node(12), testing::drawings_service}};
    Greet(greeting, 2, 0);
    const std::vector<OutgoingReport> answers = Greet(PeerListQuery(), 3, 10);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, answers.back().report.fellows.size());
  }

  void TheNumberOfAgentsOutlivesTheBalancers() {
    BalancerGreeting greeting;
    greeting.agent_count = 204;
    Greet(greeting, 2, 0);
    BalancerGreeting learning = PeerListQuery();
    learning.agent_count = 1;
    learning.is_learning = true;
    CPPUNIT_ASSERT_EQUAL(std::size_t{204}, Greet(learning, 2, 9'000).back().report.agent_count);
  }

  void AnswersAreRateLimited() {
    std::size_t answered = 0;
    for (std::uint32_t balancer = 2; balancer < 662; ++balancer) {
      answered += Greet(PeerListQuery(), balancer, 10).size();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{100}, answered);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{560}, m_reporter.SuppressedAnswerCount());
  }

  void UrgentReportsGoToAllBalancers() {
    Greet({}, 2, 0);
    Greet({}, 3, 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_reporter.ReportToAll(At(10)).receivers.size());
  }

  void ABalancerThatStartsAgainHearsTheAgentInItsRound() {
    BalancerGreeting greeting;
    greeting.agent_count = 204;
    for (std::uint32_t balancer = 2; balancer < 93; ++balancer) {
      Greet(greeting, balancer, 0);
    }
    // All balancers have gone; the agent still reports to their addresses in turn.
    std::size_t reports_received = 0;
    for (int time = 8'000; time < 28'000; time += 50) {
      const OutgoingReport report = m_reporter.ReportInTurn(At(time));
      const auto& to = report.receivers;
      reports_received +=
          time >= 10'000 && std::find(to.begin(), to.end(), Node(50)) != to.end() ? 1 : 0;
      CPPUNIT_ASSERT(time < 10'000 || to.size() <= 2 || to.size() == 91);
    }
    CPPUNIT_ASSERT(reports_received >= 1);
  }

  void AnAgentWithoutGreetingsHasNoBalancer() {
    Greet({}, 2, 1'000);
    CPPUNIT_ASSERT(!m_reporter.HasNoBalancer(At(3'400)));
    CPPUNIT_ASSERT(m_reporter.HasNoBalancer(At(3'600)));
  }

 private:
  static BalancerGreeting PeerListQuery() {
    BalancerGreeting question;
    question.wants_answer = true;
    question.wants_fellows = true;
    return question;
  }

  static AgentCoreSettings Settings() {
    AgentCoreSettings settings;
    settings.incarnation = base::Incarnation(9);
    settings.service = testing::orders_service;
    return settings;
  }

  std::vector<OutgoingReport> Greet(const BalancerGreeting& greeting, std::uint32_t sender,
                                    int time) {
    bool is_new = false;
    return m_reporter.OnGreeting(greeting, Node(sender), At(time), is_new);
  }

  AgentCore m_core{Settings()};
  AgentReporter m_reporter{Node(1), base::Incarnation(9), m_core};
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentReporterTest);

}  // namespace
}  // namespace gaugevalve::placement
