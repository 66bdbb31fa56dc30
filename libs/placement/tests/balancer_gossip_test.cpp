#include "gaugevalve/placement/balancer_gossip.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

#include "gaugevalve/base/hash.h"
#include "placement_fixture.h"

namespace gaugevalve::placement {
namespace {

using std::chrono::seconds;
using testing::At;
using testing::Node;
using testing::Report;
using testing::Routes;

constexpr std::uint32_t kFirstAgent = 10'000;
constexpr std::size_t kDatagramLimit = 1'400;  // bytes; larger datagrams may be fragmented

class BalancerGossipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BalancerGossipTest);
  CPPUNIT_TEST(SeedsAreAskedForFullListingsAtFirst);
  CPPUNIT_TEST(RoundsAreShortUntilABalancerAnswers);
  CPPUNIT_TEST(RoundsAreShortForALimitedTime);
  CPPUNIT_TEST(ANewBalancerRepeatsItsRequestForFullListings);
  CPPUNIT_TEST(ARoundCostsTheSameInALargeDeployment);
  CPPUNIT_TEST(RoundsReachEveryPeerInTime);
  CPPUNIT_TEST(NewRoutesGoToAFewPeersWithoutLists);
  CPPUNIT_TEST(TheFirstRoutesAreToldToAgents);
  CPPUNIT_TEST(AFullListingIsSplitIntoDatagrams);
  CPPUNIT_TEST(FullListingsAreRateLimited);
  CPPUNIT_TEST(RequestsForFullListingsEndWhenNoNewNodeIsNamed);
  CPPUNIT_TEST(AnUnknownAgentIsAskedForAReport);
  CPPUNIT_TEST(OnlyTheFirstPeersAreAskedForFullListings);
  CPPUNIT_TEST(GreetingsPerAgentAreBounded);
  CPPUNIT_TEST(FewBalancersGreetAllAgents);
  CPPUNIT_TEST(ARestartedAgentIsToldTheFormerStateOfItsEndpoint);
  CPPUNIT_TEST(AgentsWithoutEndpointAreNotListed);
  CPPUNIT_TEST(ManyPeersStayAliveOnInfrequentUpdates);
  CPPUNIT_TEST(GreetingsCarryTheAgeOfTheContact);
  CPPUNIT_TEST(AContactAgeOfANewerVersionIsIgnored);
  CPPUNIT_TEST(ContactAgesReceivedAfterAPauseAreIgnored);
  CPPUNIT_TEST(AContactIsGossipedToAFewPeers);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_core.emplace(BalancerSettings{.zone = "east"}, m_random, At(0));
    m_gossip.emplace(Node(1), base::Incarnation(5), *m_core, m_random, At(0));
  }

  void SeedsAreAskedForFullListingsAtFirst() {
    m_gossip->SetSeeds({Node(1), Node(2), Node(3)});
    const std::vector<OutgoingGreeting> round = m_gossip->PeerRound(At(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, round.size());  // without this balancer
    for (const OutgoingGreeting& greeting : round) {
      CPPUNIT_ASSERT(greeting.greeting.wants_answer);
    }
  }

  void RoundsAreShortUntilABalancerAnswers() {
    m_gossip->SetSeeds({Node(2), Node(3)});
    CPPUNIT_ASSERT(m_gossip->PeerPeriod(At(0)) <= std::chrono::milliseconds(100));
    HearBalancers(1);
    CPPUNIT_ASSERT(m_gossip->PeerPeriod(At(10)) >= std::chrono::milliseconds(500));
  }

  void RoundsAreShortForALimitedTime() {
    m_gossip->SetSeeds({Node(2), Node(3)});
    CPPUNIT_ASSERT(m_gossip->PeerPeriod(At(60'000)) >= std::chrono::milliseconds(500));
  }

  void ANewBalancerRepeatsItsRequestForFullListings() {
    HearBalancers(3);
    CPPUNIT_ASSERT(m_gossip->PeerRound(At(1000)).front().greeting.wants_answer);
    bool is_new = false;
    m_gossip->OnGreeting({}, Node(2), At(60'000), is_new);
    CPPUNIT_ASSERT(!m_gossip->PeerRound(At(60'000)).front().greeting.wants_answer);
  }

  void ARoundCostsTheSameInALargeDeployment() {
    HearBalancers(30);
    HearAgents(60);
    const std::size_t small = BytesOf(m_gossip->PeerRound(At(0)));
    HearBalancers(600);
    HearAgents(3'000);
    CPPUNIT_ASSERT_EQUAL(small, BytesOf(m_gossip->PeerRound(At(0))));
    CPPUNIT_ASSERT(small * 2 < 5'000);  // bytes in two rounds
  }

  void RoundsReachEveryPeerInTime() {
    constexpr std::uint32_t kBalancers = 40;
    HearBalancers(kBalancers);
    std::set<std::uint64_t> reached;
    for (int round = 0; round < 120; ++round) {  // at least a minute of rounds
      for (const OutgoingGreeting& greeting : m_gossip->PeerRound(At(0))) {
        reached.insert(base::HashBytes(greeting.receiver.address, 0));
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{kBalancers}, reached.size());
  }

  void NewRoutesGoToAFewPeersWithoutLists() {
    HearBalancers(600);
    HearAgents(100);
    m_core->SetRoutes(Routes(9));
    const std::vector<OutgoingGreeting> news = m_gossip->OnNewRoutes(false, At(0));
    CPPUNIT_ASSERT(news.size() >= 4 && news.size() <= 8);
    for (const OutgoingGreeting& greeting : news) {
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, greeting.greeting.routes_version);
      CPPUNIT_ASSERT(greeting.greeting.balancers.empty() && greeting.greeting.agents.empty());
    }
  }

  void TheFirstRoutesAreToldToAgents() {
    HearAgents(3);
    RouteTable routes = Routes(9);
    routes.health_check_paths[testing::orders_service] = "/up";
    m_core->SetRoutes(std::move(routes));
    const std::vector<OutgoingGreeting> news = m_gossip->OnNewRoutes(true, At(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, news.size());
    CPPUNIT_ASSERT_EQUAL(std::string("/up"), news.front().greeting.health_check_path);
  }

  void AFullListingIsSplitIntoDatagrams() {
    HearBalancers(100);
    HearAgents(500);
    BalancerGreeting question;
    question.wants_answer = true;
    std::set<std::uint64_t> agents;
    std::set<std::uint64_t> balancers;
    bool is_new = false;
    for (const OutgoingGreeting& part : m_gossip->OnGreeting(question, Node(2), At(0), is_new)) {
      CPPUNIT_ASSERT_EQUAL(Node(2), part.receiver);
      CPPUNIT_ASSERT(EncodeNodeMessage(part.greeting).size() <= kDatagramLimit);
      for (const ListedAgent& agent : part.greeting.agents) {
        agents.insert(base::HashBytes(agent.address.address, 0));
      }
      for (const BalancerAge& balancer : part.greeting.balancers) {
        balancers.insert(base::HashBytes(balancer.address.address, 0));
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{500}, agents.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{100}, balancers.size());
  }

  // Hundreds of balancers may start at once and ask the same few seeds in their settings.
  void FullListingsAreRateLimited() {
    HearBalancers(300);
    HearAgents(700);
    BalancerGreeting question;
    question.wants_answer = true;
    std::size_t datagrams = 0;
    for (std::uint32_t number = 2; number < 300; ++number) {
      bool is_new = false;
      const auto answers = m_gossip->OnGreeting(question, Node(number), At(0), is_new);
      CPPUNIT_ASSERT(!answers.empty());
      CPPUNIT_ASSERT(!answers.front().greeting.balancers.empty());  // names others to ask
      datagrams += answers.size();
    }
    CPPUNIT_ASSERT(datagrams < 400);  // 4,768 without the rate limit
    bool is_new = false;
    CPPUNIT_ASSERT(m_gossip->OnGreeting(question, Node(5), At(100), is_new).size() >= 700 / 50);
  }

  // Each full listing names the whole fleet, however large it is.
  void RequestsForFullListingsEndWhenNoNewNodeIsNamed() {
    HearBalancers(20);
    BalancerGreeting known;
    bool is_new = false;
    m_gossip->OnGreeting(known, Node(2), At(1000), is_new);
    CPPUNIT_ASSERT(m_gossip->PeerRound(At(1400)).front().greeting.wants_answer);
    CPPUNIT_ASSERT(!m_gossip->PeerRound(At(2000)).front().greeting.wants_answer);
    BalancerGreeting news;
    news.agents = {{Node(kFirstAgent), testing::orders_service}};
    m_gossip->OnGreeting(news, Node(2), At(2100), is_new);
    CPPUNIT_ASSERT(m_gossip->PeerRound(At(3000)).front().greeting.wants_answer);
    CPPUNIT_ASSERT(!m_gossip->PeerRound(At(4000)).front().greeting.wants_answer);
  }

  void AnUnknownAgentIsAskedForAReport() {
    BalancerGreeting greeting;
    greeting.agents = {{Node(kFirstAgent), testing::orders_service}};
    bool is_new = false;
    const auto answers = m_gossip->OnGreeting(greeting, Node(2), At(0), is_new);
    CPPUNIT_ASSERT(is_new);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answers.size());
    CPPUNIT_ASSERT_EQUAL(Node(kFirstAgent), answers.front().receiver);
    CPPUNIT_ASSERT(answers.front().greeting.wants_answer);
    CPPUNIT_ASSERT(m_gossip->OnGreeting(greeting, Node(2), At(0), is_new).empty());
    CPPUNIT_ASSERT(!is_new);
  }

  void OnlyTheFirstPeersAreAskedForFullListings() {
    BalancerGreeting greeting;
    for (std::uint32_t number = 2; number < 50; ++number) {
      greeting.balancers.push_back({Node(number), base::Duration(0)});
    }
    bool is_new = false;
    const auto answers = m_gossip->OnGreeting(greeting, Node(99), At(0), is_new);
    CPPUNIT_ASSERT_EQUAL(std::size_t{48}, answers.size());
    const auto asked = std::count_if(answers.begin(), answers.end(), [](const auto& answer) {
      return answer.greeting.wants_answer;
    });
    CPPUNIT_ASSERT(asked >= 2 && asked <= 8);
  }

  void GreetingsPerAgentAreBounded() {
    HearBalancers(99);
    HearAgents(1'000);
    const std::size_t greetings = m_gossip->AgentRound(At(0)).size();
    CPPUNIT_ASSERT(greetings * 100 >= 2'000);  // from 100 balancers together
    CPPUNIT_ASSERT(greetings * 100 <= 2'500);
  }

  void FewBalancersGreetAllAgents() {
    HearBalancers(1);
    HearAgents(10);
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, m_gossip->AgentRound(At(0)).size());
  }

  void ARestartedAgentIsToldTheFormerStateOfItsEndpoint() {
    HearAgents(1);
    AgentReport restarted = Report(1, 0, EndpointStanding::kUnknown);
    restarted.incarnation = base::Incarnation(99);
    restarted.wants_memory = true;
    m_core->OnReport(Node(kFirstAgent), restarted, At(1000));
    const KnownAgent* agent = m_core->Agents().Find(Node(kFirstAgent));
    const OutgoingGreeting welcome = m_gossip->GreetNewAgent(*agent, At(1500));
    CPPUNIT_ASSERT(welcome.greeting.memory.has_value());
    CPPUNIT_ASSERT(welcome.greeting.memory_age == std::chrono::milliseconds(1500));
  }

  void AgentsWithoutEndpointAreNotListed() {
    m_core->OnReport(Node(kFirstAgent), Report(1, 0, EndpointStanding::kAbsent), At(0));
    HearBalancers(1);
    const auto round = m_gossip->PeerRound(At(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, round.size());
    CPPUNIT_ASSERT(round.front().greeting.agents.empty());
  }

  void ManyPeersStayAliveOnInfrequentUpdates() {
    HearBalancers(3);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_gossip->AliveCount(base::TimePoint(seconds(5))));
    HearBalancers(600);
    CPPUNIT_ASSERT_EQUAL(std::size_t{600}, m_gossip->AliveCount(base::TimePoint(seconds(5))));
  }

  void GreetingsCarryTheAgeOfTheContact() {
    m_core->Tick(At(1'000));
    HearOfStore(1'000, 0, std::chrono::milliseconds(300));
    HearBalancers(2);
    CPPUNIT_ASSERT(std::chrono::milliseconds(800) + StoreReaderRole::kHopAllowance ==
                   *m_gossip->PeerRound(At(1'500)).front().greeting.store_age);
  }

  // The peer's contact confirmed a newer configuration, which is not in force on this balancer.
  void AContactAgeOfANewerVersionIsIgnored() {
    m_core->Tick(At(1'000));
    HearOfStore(1'000, 4, base::Duration(0));
    CPPUNIT_ASSERT(!m_gossip->Reader().Age(At(1'000)));
  }

  void ContactAgesReceivedAfterAPauseAreIgnored() {
    m_core->Tick(At(1'000));
    HearOfStore(9'000, 0, base::Duration(0));  // after a pause of 8 s, before a tick
    CPPUNIT_ASSERT(!m_gossip->Reader().Age(At(9'000)));
    m_core->Tick(At(9'250));
    m_core->Tick(At(9'500));
    HearOfStore(9'600, 0, base::Duration(0));
    CPPUNIT_ASSERT(m_gossip->Reader().Age(At(9'600)));
  }

  void AContactIsGossipedToAFewPeers() {
    m_core->Tick(At(1'000));
    HearBalancers(600);
    m_gossip->Reader().NoteContact(At(1'000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_gossip->Tick(At(1'000)).size());
    CPPUNIT_ASSERT(m_gossip->Tick(At(1'250)).empty());
  }

 private:
  void HearOfStore(int time, std::uint64_t version, base::Duration age) {
    BalancerGreeting greeting;
    greeting.routes_version = version;
    greeting.store_age = age;
    bool is_new = false;
    m_gossip->OnGreeting(greeting, Node(2), At(time), is_new);
  }

  void HearBalancers(std::uint32_t count) {
    bool is_new = false;
    for (std::uint32_t number = 0; number < count; ++number) {
      m_gossip->OnGreeting({}, Node(2 + number), At(0), is_new);
    }
  }

  void HearAgents(std::uint32_t count) {
    for (std::uint32_t number = 0; number < count; ++number) {
      m_core->OnReport(Node(kFirstAgent + number), Report(1), At(0));
    }
  }

  static std::size_t BytesOf(const std::vector<OutgoingGreeting>& greetings) {
    constexpr std::size_t kPacketHeaders = 28;  // IPv4 and UDP
    std::size_t bytes = 0;
    for (const OutgoingGreeting& greeting : greetings) {
      BalancerGreeting fixed = greeting.greeting;
      fixed.agent_count = 0;  // its encoded size depends on its value
      bytes += EncodeNodeMessage(fixed).size() + kPacketHeaders;
    }
    return bytes;
  }

  base::RandomSource m_random{1};
  std::optional<BalancerCore> m_core;
  std::optional<BalancerGossip> m_gossip;
};

CPPUNIT_TEST_SUITE_REGISTRATION(BalancerGossipTest);

}  // namespace
}  // namespace gaugevalve::placement
