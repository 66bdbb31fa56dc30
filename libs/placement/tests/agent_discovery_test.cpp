#include "gaugevalve/placement/agent_discovery.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

#include "gaugevalve/base/random_source.h"
#include "gaugevalve/placement/balancer_core.h"
#include "gaugevalve/placement/balancer_gossip.h"
#include "placement_fixture.h"

namespace gaugevalve::placement {
namespace {

using testing::At;
using testing::Data;
using testing::Flow;
using testing::Node;
using testing::Opening;
using testing::Report;
using testing::Routes;

constexpr std::size_t kAgents = 20;

class AgentDiscoveryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AgentDiscoveryTest);
  CPPUNIT_TEST(ANamedAgentIsAskedAtOnceAndThenAFewTimes);
  CPPUNIT_TEST(AnAgentThatWasHeardIsAskedNoMore);
  CPPUNIT_TEST(QuestionsAreBoundedInTime);
  CPPUNIT_TEST(AnAgentGivenUpIsAskedAgainLater);
  CPPUNIT_TEST(AllAreFoundOnceHeardOrGivenUp);
  CPPUNIT_TEST(NearlyAllAreEnough);
  CPPUNIT_TEST(MorePeerListsAreRequestedWhileAgentsAreMissing);
  CPPUNIT_TEST(AFlowIsNotResetWhileAgentsAreMissing);
  CPPUNIT_TEST(AFlowThatNobodyHoldsIsResetOnceAllAreFound);
  CPPUNIT_TEST(AgentsWithoutEndpointsAreFoundAsWell);
  CPPUNIT_TEST(TheWaitForMissingAgentsIsBounded);
  CPPUNIT_TEST(TheWaitForSilentNamedAgentsIsShort);
  CPPUNIT_TEST(AnAgentThatHasEndedIsNotNamedToOthers);
  CPPUNIT_TEST(AnOpeningIsNotResetForWantOfEndpointsWhileAgentsAreMissing);
  CPPUNIT_TEST(OpeningsGoToNamedAgentsBeforeTheyAreHeard);
  CPPUNIT_TEST(AnAgentThatWasNamedIsNoCandidateOnceAllAreFound);
  CPPUNIT_TEST(ANewBalancerAsksTheFirstAgentsForPeers);
  CPPUNIT_TEST(ListedPeersAreAskedForReports);
  CPPUNIT_TEST(PeerListsAreRequestedWhileAgentsAreUnnamed);
  CPPUNIT_TEST(TheCountOfALearningBalancerIsIgnored);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_discovery = {};
    m_core.emplace(BalancerSettings{.zone = "east"}, m_random, At(0));
    m_core->SetRoutes(Routes(1));
    m_gossip.emplace(Node(1), base::Incarnation(5), *m_core, m_random, At(0));
  }

  void ANamedAgentIsAskedAtOnceAndThenAFewTimes() {
    CPPUNIT_ASSERT(m_discovery.TakeNamed(Node(2), At(0)));
    CPPUNIT_ASSERT(!m_discovery.TakeNamed(Node(2), At(100)));
    int asked = 1;
    for (int time = 50; time < 20'000; time += 50) {
      asked += static_cast<int>(m_discovery.TakeDueQueries(At(time)).size());
    }
    // Five queries within 1.25 s; then the agent is given up and queried once a second.
    CPPUNIT_ASSERT_EQUAL(5 + 19, asked);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_discovery.UnreachableCount());
  }

  void AnAgentThatWasHeardIsAskedNoMore() {
    m_discovery.TakeNamed(Node(2), At(0));
    m_discovery.NoteReport(Node(2));
    CPPUNIT_ASSERT(m_discovery.TakeDueQueries(At(1000)).empty());
  }

  void QuestionsAreBoundedInTime() {
    std::size_t at_once = 0;
    for (std::uint32_t number = 0; number < 3'800; ++number) {
      at_once += m_discovery.TakeNamed(Node(number + 2), At(0)) ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{250}, at_once);
    CPPUNIT_ASSERT(m_discovery.TakeDueQueries(At(100)).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{250}, m_discovery.TakeDueQueries(At(250)).size());
  }

  // It may be reachable again after a partition, whether or not it is named again.
  void AnAgentGivenUpIsAskedAgainLater() {
    m_discovery.TakeNamed(Node(2), At(0));
    for (int time = 0; time < 5'000; time += 50) {
      m_discovery.TakeDueQueries(At(time));
    }
    CPPUNIT_ASSERT(m_discovery.IsGivenUp(Node(2)));
    CPPUNIT_ASSERT(!m_discovery.TakeNamed(Node(2), At(5'000)));
    CPPUNIT_ASSERT(!m_discovery.TakeDueQueries(At(6'000)).empty());
    m_discovery.NoteReport(Node(2));
    CPPUNIT_ASSERT(!m_discovery.IsGivenUp(Node(2)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_discovery.UnreachableCount());
  }

  void AllAreFoundOnceHeardOrGivenUp() {
    CPPUNIT_ASSERT(!m_discovery.IsComplete(5));  // the number of agents has not been stated
    m_discovery.NoteAgentCount(3);
    CPPUNIT_ASSERT(!m_discovery.IsComplete(2));
    m_discovery.TakeNamed(Node(2), At(0));
    CPPUNIT_ASSERT(!m_discovery.IsComplete(3));  // one more agent has been named
    for (int time = 0; time < 5'000; time += 50) {
      m_discovery.TakeDueQueries(At(time));
    }
    CPPUNIT_ASSERT(m_discovery.IsComplete(2));
    CPPUNIT_ASSERT(!m_discovery.IsComplete(1));
  }

  void NearlyAllAreEnough() {
    m_discovery.NoteAgentCount(200);
    CPPUNIT_ASSERT(!m_discovery.IsComplete(189));
    CPPUNIT_ASSERT(m_discovery.IsComplete(190));
    for (std::uint32_t number = 2; number < 22; ++number) {
      m_discovery.TakeNamed(Node(number), At(0));  // more than the stated number
    }
    CPPUNIT_ASSERT(!m_discovery.IsComplete(190));
  }

  void MorePeerListsAreRequestedWhileAgentsAreMissing() {
    for (int heard = 1; heard <= 4; ++heard) {
      CPPUNIT_ASSERT(m_discovery.TakePeerListQuery(heard));
    }
    CPPUNIT_ASSERT(!m_discovery.TakePeerListQuery(5));
    m_discovery.NoteAgentCount(10);
    CPPUNIT_ASSERT(m_discovery.TakePeerListQuery(6));
    CPPUNIT_ASSERT(!m_discovery.TakePeerListQuery(10));
  }

  // After the loss of all balancers, an agent states the number of agents.
  void AFlowIsNotResetWhileAgentsAreMissing() {
    HearAgent(2, kAgents);
    for (const int time : {100, 800, 1'900}) {
      CPPUNIT_ASSERT(BalancerVerdict::kReset != VerdictOnUnknownFlow(time));
    }
  }

  void AFlowThatNobodyHoldsIsResetOnceAllAreFound() {
    HearAgent(2, 1);
    CPPUNIT_ASSERT(BalancerVerdict::kReset != VerdictOnUnknownFlow(600));
    CPPUNIT_ASSERT(BalancerVerdict::kReset == VerdictOnUnknownFlow(800));
  }

  // Regression test (docs/design/0018): agents that lost their endpoints in a full restart were
  // still counted by other nodes, and all balancers waited two seconds for them.
  void AgentsWithoutEndpointsAreFoundAsWell() {
    HearAgent(2, 3);
    m_core->OnReport(Node(3), Report(1, 0, EndpointStanding::kAbsent), At(0));
    m_core->OnReport(Node(4), Report(1, 0, EndpointStanding::kStopping), At(0));
    CPPUNIT_ASSERT(!m_core->IsLearning(At(800)));
  }

  void TheWaitForMissingAgentsIsBounded() {
    HearAgent(2, kAgents);
    CPPUNIT_ASSERT(BalancerVerdict::kReset == VerdictOnUnknownFlow(2'100));
  }

  // Named agents may have gone, for example after a full restart during replacements.
  void TheWaitForSilentNamedAgentsIsShort() {
    HearAgent(2, 3);
    for (const std::uint32_t number : {3U, 4U}) {
      m_core->NoteListed({Node(number), testing::orders_service}, At(100));
    }
    for (int time = 100; time <= 1'600; time += 250) {
      m_core->Discovery().TakeDueQueries(At(time));
      CPPUNIT_ASSERT_EQUAL(time < 1'350, m_core->IsLearning(At(time)));
    }
    CPPUNIT_ASSERT(!m_core->IsLearning(At(1'600)));
  }

  void AnAgentThatHasEndedIsNotNamedToOthers() {
    HearAgent(2, 2);
    AgentReport farewell = Report(2, 0, EndpointStanding::kStopping);
    m_core->OnReport(Node(3), farewell, At(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_core->Agents().PresentCount());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_gossip->MakeAgentListing(At(0)).agents.size());
  }

  void AnOpeningIsNotResetForWantOfEndpointsWhileAgentsAreMissing() {
    AgentReport report = Report(1, 0, EndpointStanding::kLeaving);
    report.agent_count = kAgents;
    m_core->OnReport(Node(2), report, At(0));
    CPPUNIT_ASSERT(BalancerVerdict::kDrop ==
                   m_core->OnClientPacket(Opening(Flow(1)), At(1'500)).verdict);
  }

  void OpeningsGoToNamedAgentsBeforeTheyAreHeard() {
    HearAgent(2, kAgents);
    for (std::uint32_t number = 3; number < 3 + kAgents; ++number) {
      m_core->NoteListed({Node(number), testing::orders_service}, At(0));
    }
    std::size_t at_first = 0;
    for (std::uint16_t port = 1; port <= 2 * kAgents; ++port) {
      const BalancerDecision decision = m_core->OnClientPacket(Opening(Flow(port)), At(100));
      CPPUNIT_ASSERT(BalancerVerdict::kForward == decision.verdict);
      at_first += decision.agent == Node(2) ? 1 : 0;
    }
    CPPUNIT_ASSERT(at_first < kAgents / 2);
  }

  void AnAgentThatWasNamedIsNoCandidateOnceAllAreFound() {
    HearAgent(2, 1);
    CPPUNIT_ASSERT(!m_core->IsLearning(At(800)));
    m_core->NoteListed({Node(3), testing::orders_service}, At(800));
    m_core->NoteListed({Node(4), testing::orders_service}, At(800));
    for (std::uint16_t port = 1; port <= 8; ++port) {
      CPPUNIT_ASSERT(Node(2) == m_core->OnClientPacket(Opening(Flow(port)), At(900)).agent);
    }
  }

  void ANewBalancerAsksTheFirstAgentsForPeers() {
    HearAgent(2, kAgents);
    const OutgoingGreeting welcome =
        m_gossip->GreetNewAgent(*m_core->Agents().Find(Node(2)), At(10));
    CPPUNIT_ASSERT(welcome.greeting.wants_answer && welcome.greeting.wants_fellows);
    CPPUNIT_ASSERT(welcome.greeting.is_learning);
  }

  void ListedPeersAreAskedForReports() {
    HearAgent(2, 3);
    const std::vector<ListedAgent> fellows = {{Node(2), testing::orders_service},
                                              {Node(3), testing::orders_service},
                                              {Node(4), testing::drawings_service}};
    const std::vector<OutgoingGreeting> queries = m_gossip->OnNamedAgents(fellows, At(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, queries.size());  // the third agent has been heard
    for (const OutgoingGreeting& query : queries) {
      CPPUNIT_ASSERT(query.greeting.wants_answer);
    }
  }

  void PeerListsAreRequestedWhileAgentsAreUnnamed() {
    HearAgent(2, kAgents);
    const std::vector<OutgoingGreeting> queries = m_gossip->Tick(At(250));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queries.size());
    CPPUNIT_ASSERT(queries.front().receiver == Node(2));
    CPPUNIT_ASSERT(queries.front().greeting.wants_fellows);
    CPPUNIT_ASSERT(m_gossip->Tick(At(2'500)).empty());  // the remaining agents have been given up
  }

  void TheCountOfALearningBalancerIsIgnored() {
    BalancerGreeting greeting;
    greeting.agent_count = kAgents;
    greeting.is_learning = true;
    bool is_new = false;
    m_gossip->OnGreeting(greeting, Node(9), At(0), is_new);
    CPPUNIT_ASSERT(!m_core->Discovery().HasCount());
    greeting.is_learning = false;
    m_gossip->OnGreeting(greeting, Node(9), At(0), is_new);
    CPPUNIT_ASSERT_EQUAL(kAgents, m_core->Discovery().AgentCount());
  }

 private:
  void HearAgent(std::uint32_t number, std::size_t agents) {
    AgentReport report = Report(1);
    report.agent_count = agents;
    m_core->OnReport(Node(number), report, At(0));
  }

  // Returns the last verdict on a packet of an open flow that none of the agents heard so far
  // holds.
  BalancerVerdict VerdictOnUnknownFlow(int time) {
    const FlowPacket packet = Data(Flow(77), 500);
    BalancerDecision decision = m_core->OnClientPacket(packet, At(time));
    if (decision.verdict == BalancerVerdict::kForward) {
      ForwardHeader header = decision.header;
      header.reason = ReturnReason::kNotHeld;
      decision = m_core->OnReturnedPacket(packet, header, decision.agent, At(time + 1));
    }
    return decision.verdict;
  }

  AgentDiscovery m_discovery;
  base::RandomSource m_random{7};
  std::optional<BalancerCore> m_core;
  std::optional<BalancerGossip> m_gossip;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentDiscoveryTest);

}  // namespace
}  // namespace gaugevalve::placement
