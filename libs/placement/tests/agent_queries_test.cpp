// Tests of queries to silent agents, and of their effect on a balancer's searches.
#include "gaugevalve/placement/agent_queries.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <optional>
#include <vector>

#include "gaugevalve/placement/balancer_core.h"
#include "placement_fixture.h"

namespace gaugevalve::placement {
namespace {

using std::chrono::milliseconds;
using testing::At;
using testing::Data;
using testing::Flow;
using testing::Node;
using testing::Opening;
using testing::orders_service;
using testing::Report;
using testing::Routes;

constexpr std::int64_t kLearned = 5000;               // ms; the balancer has discovered all agents
constexpr std::uint32_t kAgents = 30;                 // Node(1) to Node(30)
constexpr std::uint32_t kFirstDead = 21;              // Node(21) to Node(30) have lost power
constexpr std::uint32_t kLongReportPeriodMs = 4'000;  // ms

class AgentQueriesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AgentQueriesTest);
  CPPUNIT_TEST(AnAgentIsQueriedAFewTimesAndThenRarely);
  CPPUNIT_TEST(AnAnswerEndsTheQueries);
  CPPUNIT_TEST(AnAnswerIsOverdueAfterAWhile);
  CPPUNIT_TEST(GoneAgentsAreForgotten);
  CPPUNIT_TEST(ALostSearchAsksTheAgentsOnItsWay);
  CPPUNIT_TEST(ASearchFindsItsHolderThoughAThirdOfTheAgentsDied);
  CPPUNIT_TEST(AfterALostSearchThoseHeardSinceComeFirst);
  CPPUNIT_TEST(ALostSearchOfOneAgentIsNoticed);
  CPPUNIT_TEST(ACopyOfAPacketAsksItsAgent);
  CPPUNIT_TEST(ACopyDoesNotAskAnAgentThatWasJustHeard);
  CPPUNIT_TEST(AFlowWhoseAgentAnswersNothingIsReset);
  CPPUNIT_TEST(AnAgentThatAnswersInTimeKeepsItsFlows);
  CPPUNIT_TEST(AnAgentOnlyNamedThatAnswersNothingIsNoHolder);
  CPPUNIT_TEST(ASuspectGetsNoNewFlow);
  CPPUNIT_TEST(APauseClearsSuspicions);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_core.emplace(BalancerSettings{.zone = "east"}, m_random, At(0));
    m_core->SetRoutes(Routes(1));
    m_now = At(kLearned);
    m_core->Tick(m_now);
  }

  void AnAgentIsQueriedAFewTimesAndThenRarely() {
    AgentQueries queries(4);
    CPPUNIT_ASSERT(queries.Ask(Node(1), At(0)));
    CPPUNIT_ASSERT(!queries.Ask(Node(1), At(10)));
    for (int time = 250; time <= 750; time += 250) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queries.TakeDue(At(time)).size());
      CPPUNIT_ASSERT(!queries.IsGivenUp(Node(1)));
    }
    queries.TakeDue(At(1'000));
    CPPUNIT_ASSERT(queries.IsGivenUp(Node(1)));
    CPPUNIT_ASSERT(queries.TakeDue(At(1'900)).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queries.TakeDue(At(2'000)).size());
  }

  void AnAnswerEndsTheQueries() {
    AgentQueries queries(1);
    queries.Ask(Node(1), At(0));
    queries.TakeDue(At(250));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queries.GivenUpCount());
    queries.NoteActivity(Node(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queries.GivenUpCount());
    CPPUNIT_ASSERT(queries.TakeDue(At(5'000)).empty());
  }

  void AnAnswerIsOverdueAfterAWhile() {
    AgentQueries queries(4);
    CPPUNIT_ASSERT(!queries.IsOverdue(Node(1), At(500)));
    queries.Ask(Node(1), At(0));
    CPPUNIT_ASSERT(!queries.IsOverdue(Node(1), At(100)));
    CPPUNIT_ASSERT(queries.IsOverdue(Node(1), At(101)));
  }

  void GoneAgentsAreForgotten() {
    AgentQueries queries(1);
    queries.Ask(Node(1), At(0));
    queries.Ask(Node(2), At(0));
    queries.TakeDue(At(250));
    queries.Forget([](const base::SocketAddress& agent) { return agent == Node(1); });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queries.Count());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queries.GivenUpCount());
  }

  void ALostSearchAsksTheAgentsOnItsWay() {
    HearAll();
    CPPUNIT_ASSERT(!Send(Data(Flow(1), 101)).route.empty());
    CPPUNIT_ASSERT(!m_core->HasNewSuspects());
    Pass(200);
    Send(Data(Flow(1), 101));
    CPPUNIT_ASSERT_EQUAL(std::size_t{kAgents}, m_core->TakeSuspects(m_now).size());
    CPPUNIT_ASSERT(!m_core->HasNewSuspects());
  }

  // Regression test (docs/design/0018): agents report every four seconds and a zone loses power.
  // For three seconds each search for a flow reached a dead agent before the holder.
  void ASearchFindsItsHolderThoughAThirdOfTheAgentsDied() {
    for (std::uint16_t port = 1; port <= 50; ++port) {
      setUp();
      HearAll();
      Pass(100);
      int sent = 1;
      while (!ReachesHolder(Send(Data(Flow(port), 101)))) {
        ++sent;
        AnswerQueries();
        Pass(sent == 2 ? 200 : 400);
      }
      CPPUNIT_ASSERT(sent <= 3);
    }
  }

  void AfterALostSearchThoseHeardSinceComeFirst() {
    HearAll();
    Send(Data(Flow(1), 101));
    Pass(100);
    Hear(7);
    Pass(100);
    CPPUNIT_ASSERT_EQUAL(Node(7), Send(Data(Flow(1), 101)).agent);
  }

  // An agent that announced its stop is the last of a search and queried on its own. Packets
  // without data are not retransmitted, so no retransmission can reveal the loss.
  void ALostSearchOfOneAgentIsNoticed() {
    Hear(1);
    AgentReport farewell = Report(++m_sequence, 0, EndpointStanding::kStopping);
    m_core->OnReport(Node(kFirstDead), farewell, m_now);
    FlowPacket closing;
    BalancerDecision decision;
    while (decision.agent != Node(1)) {  // the order of agents depends on the flow
      closing = Data(Flow(++m_port), 101, 0);
      closing.is_closing = true;
      decision = Send(closing);
    }
    decision = Return(closing, decision);
    CPPUNIT_ASSERT_EQUAL(Node(kFirstDead), decision.agent);
    Pass(200);
    Send(closing);
    CPPUNIT_ASSERT(m_core->TakeSuspects(m_now) == std::vector{Node(kFirstDead)});
    for (int time = 0; time <= 2'500; time += 50) {
      Pass(50);
      AnswerQueries();
    }
    Hear(1);
    CPPUNIT_ASSERT(Send(closing).verdict != BalancerVerdict::kReset);  // it may be restarting
    for (int time = 2'500; time <= 4'000; time += 50) {
      Pass(50);
      AnswerQueries();
    }
    Hear(1);
    CPPUNIT_ASSERT(Send(closing).verdict == BalancerVerdict::kReset);
  }

  void ACopyOfAPacketAsksItsAgent() {
    HearAll();
    m_core->OnHolderNotice(Flow(1), Node(3), orders_service, m_now);
    Pass(400);
    Send(Data(Flow(1), 101));
    CPPUNIT_ASSERT(!m_core->HasNewSuspects());
    Pass(200);
    Send(Data(Flow(1), 101));
    CPPUNIT_ASSERT(m_core->TakeSuspects(m_now) == std::vector{Node(3)});
  }

  void ACopyDoesNotAskAnAgentThatWasJustHeard() {
    HearAll();
    m_core->OnHolderNotice(Flow(1), Node(3), orders_service, m_now);
    Send(Data(Flow(1), 101));
    Pass(200);
    Send(Data(Flow(1), 101));
    CPPUNIT_ASSERT(!m_core->HasNewSuspects());
  }

  // Its agent reports every four seconds; without the query it would count as gone only after
  // twelve.
  void AFlowWhoseAgentAnswersNothingIsReset() {
    HearAll();
    m_core->OnHolderNotice(Flow(1), Node(kFirstDead), orders_service, m_now);
    Pass(400);
    Send(Data(Flow(1), 101));
    Pass(200);
    Send(Data(Flow(1), 101));
    for (int time = 0; time < 1'900; time += 50) {
      AnswerQueries();
      Pass(50);
      CPPUNIT_ASSERT_EQUAL(Node(kFirstDead), Send(Data(Flow(1), 101)).agent);
    }
    for (int time = 0; time < 200; time += 50) {
      AnswerQueries();
      Pass(50);
    }
    CPPUNIT_ASSERT(Send(Data(Flow(1), 101)).agent != Node(kFirstDead));
  }

  void AnAgentThatAnswersInTimeKeepsItsFlows() {
    HearAll();
    m_core->OnHolderNotice(Flow(1), Node(3), orders_service, m_now);
    for (int time = 0; time < 6'000; time += 200) {
      Pass(200);
      CPPUNIT_ASSERT_EQUAL(Node(3), Send(Data(Flow(1), 101)).agent);
      AnswerQueries();
    }
  }

  // Regression test: after a full restart, flows waited five seconds for two agents that did not
  // return.
  void AnAgentOnlyNamedThatAnswersNothingIsNoHolder() {
    Hear(1);
    m_core->NoteListed({Node(2), orders_service}, m_now);
    // The agent may hold the flow.
    CPPUNIT_ASSERT(VerdictOnUnknownFlow() == BalancerVerdict::kForward);
    for (int time = 0; time <= 1'250; time += 250) {
      m_core->Discovery().TakeDueQueries(m_now);
      Pass(250);
    }
    Hear(1);
    CPPUNIT_ASSERT(VerdictOnUnknownFlow() == BalancerVerdict::kReset);
  }

  void ASuspectGetsNoNewFlow() {
    Hear(1);
    Hear(2);
    m_core->OnHolderNotice(Flow(1), Node(1), orders_service, m_now);
    Pass(400);
    Send(Data(Flow(1), 101));
    Pass(200);
    Send(Data(Flow(1), 101));
    Pass(101);
    Hear(2);
    for (std::uint16_t port = 2; port < 22; ++port) {
      CPPUNIT_ASSERT_EQUAL(Node(2), Send(Opening(Flow(port))).agent);
    }
  }

  void APauseClearsSuspicions() {
    HearAll();
    m_core->OnHolderNotice(Flow(1), Node(3), orders_service, m_now);
    Pass(400);
    Send(Data(Flow(1), 101));
    Pass(200);
    Send(Data(Flow(1), 101));
    m_now += milliseconds(3'000);  // the process is suspended
    m_core->Tick(m_now);
    CPPUNIT_ASSERT(m_core->TakeSuspects(m_now).empty());
    CPPUNIT_ASSERT_EQUAL(Node(3), Send(Data(Flow(1), 101)).agent);
  }

 private:
  void Hear(std::uint32_t number) {
    AgentReport report = Report(++m_sequence);
    report.period = milliseconds(kLongReportPeriodMs);
    m_core->OnReport(Node(number), report, m_now);
  }

  void HearAll() {
    for (std::uint32_t number = 1; number <= kAgents; ++number) {
      Hear(number);
    }
  }

  void Pass(int time) {
    m_now += milliseconds(time);
    m_core->Tick(m_now);
  }

  void AnswerQueries() {
    for (const base::SocketAddress& agent : m_core->TakeSuspects(m_now)) {
      for (std::uint32_t number = 1; number < kFirstDead; ++number) {
        if (agent == Node(number)) {
          Hear(number);
        }
      }
    }
  }

  BalancerDecision Send(const FlowPacket& packet) { return m_core->OnClientPacket(packet, m_now); }

  // Returns whether a search packet reaches Node(1), the holder, before a dead agent.
  static bool ReachesHolder(const BalancerDecision& decision) {
    std::vector<base::SocketAddress> way = {decision.agent};
    way.insert(way.end(), decision.route.begin(), decision.route.end());
    for (const base::SocketAddress& agent : way) {
      if (agent == Node(1)) {
        return true;
      }
      for (std::uint32_t dead = kFirstDead; dead <= kAgents; ++dead) {
        if (agent == Node(dead)) {
          return false;
        }
      }
    }
    return false;
  }

  // Returns the verdict on a packet of an unknown flow after Node(1) has returned one.
  BalancerVerdict VerdictOnUnknownFlow() {
    const FlowPacket packet = Data(Flow(++m_port), 101);
    return Return(packet, Send(packet)).verdict;
  }

  BalancerDecision Return(const FlowPacket& packet, const BalancerDecision& decision) {
    ForwardHeader header = decision.header;
    header.kind = MessageKind::kReturned;
    header.reason = ReturnReason::kNotHeld;
    return m_core->OnReturnedPacket(packet, header, decision.agent, m_now);
  }

  base::RandomSource m_random{1};
  std::optional<BalancerCore> m_core;
  base::TimePoint m_now{};
  std::uint64_t m_sequence = 0;
  std::uint16_t m_port = 100;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentQueriesTest);

}  // namespace
}  // namespace gaugevalve::placement
