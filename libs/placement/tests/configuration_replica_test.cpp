// Guards against an outage in which all balancers lost power while the store was unreachable.
// Agents and endpoints kept running, but restarted balancers have no configuration and could get it
// only from other balancers or the store. No request was served until the store came back; for two
// seconds each packet_decided line said verdict=drop reason=no_routes. Agents hold replicas for
// this case.
#include "gaugevalve/placement/configuration_replica.h"

#include <cppunit/extensions/HelperMacros.h>

#include "gaugevalve/placement/agent_core.h"
#include "placement_fixture.h"

namespace gaugevalve::placement {
namespace {

using testing::At;
using testing::Node;

class ConfigurationReplicaTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationReplicaTest);
  CPPUNIT_TEST(AllAgentsOfASmallDeploymentHoldOne);
  CPPUNIT_TEST(TheNumberOfReplicasDoesNotGrowWithTheFleet);
  CPPUNIT_TEST(NothingIsFetchedBeforeTheNumberOfAgentsIsKnown);
  CPPUNIT_TEST(OnlyANewerVersionIsWanted);
  CPPUNIT_TEST(AnAgentThatIsNotChosenAnyMoreDropsItsReplica);
  CPPUNIT_TEST(ReportsNameTheVersionThatIsHeld);
  CPPUNIT_TEST(TheNewestOfferIsTakenOnceOffersWereCompared);
  CPPUNIT_TEST(WhereAFetchFailsTheNextNewestFollows);
  CPPUNIT_TEST(OffersThatAreNotNewerAreLeftOut);
  CPPUNIT_TEST(ALaterOfferOfANewerVersionIsTakenToo);
  CPPUNIT_TEST(ManyOffersLeaveTheNewest);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AllAgentsOfASmallDeploymentHoldOne() {
    for (std::uint32_t agent = 1; agent <= ConfigurationReplica::kReplicas; ++agent) {
      ConfigurationReplica replica{Node(agent)};
      replica.NoteAgentCount(ConfigurationReplica::kReplicas);
      CPPUNIT_ASSERT(replica.IsWanted(1));
    }
  }

  void TheNumberOfReplicasDoesNotGrowWithTheFleet() {
    for (const std::uint32_t agents : {682U, 3'800U, 7'600U}) {
      std::size_t holders = 0;
      for (std::uint32_t agent = 1; agent <= agents; ++agent) {
        ConfigurationReplica replica{Node(agent)};
        replica.NoteAgentCount(agents);
        holders += replica.IsWanted(1) ? 1 : 0;
      }
      CPPUNIT_ASSERT(holders >= ConfigurationReplica::kReplicas / 2);
      CPPUNIT_ASSERT(holders <= 2 * ConfigurationReplica::kReplicas);
    }
  }

  void NothingIsFetchedBeforeTheNumberOfAgentsIsKnown() {
    ConfigurationReplica replica{Node(1)};
    CPPUNIT_ASSERT(!replica.IsWanted(1));
    replica.NoteAgentCount(0);
    CPPUNIT_ASSERT(!replica.IsWanted(1));
  }

  void OnlyANewerVersionIsWanted() {
    ConfigurationReplica replica{Node(1)};
    replica.NoteAgentCount(3);
    CPPUNIT_ASSERT(!replica.IsWanted(0));  // a balancer without a configuration
    replica.Hold(7);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, replica.Version());
    CPPUNIT_ASSERT(!replica.IsWanted(6));
    CPPUNIT_ASSERT(!replica.IsWanted(7));
    CPPUNIT_ASSERT(replica.IsWanted(8));
  }

  void AnAgentThatIsNotChosenAnyMoreDropsItsReplica() {
    std::size_t dropped = 0;
    for (std::uint32_t agent = 1; agent <= 100; ++agent) {
      ConfigurationReplica replica{Node(agent)};
      replica.NoteAgentCount(10);
      replica.Hold(7);
      const bool is_dropped = replica.NoteAgentCount(100'000);
      CPPUNIT_ASSERT_EQUAL(is_dropped, replica.Version() == 0);
      CPPUNIT_ASSERT_EQUAL(is_dropped, !replica.IsWanted(8));
      CPPUNIT_ASSERT(!replica.NoteAgentCount(100'000));
      dropped += is_dropped ? 1 : 0;
    }
    CPPUNIT_ASSERT(dropped > 90);
  }

  void ReportsNameTheVersionThatIsHeld() {
    AgentCore core(AgentCoreSettings{});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, core.MakeReport(At(0)).routes_version);
    core.SetHeldRoutes(7);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, core.MakeReport(At(0)).routes_version);
  }

  // An agent that was partitioned offers an older version.
  void TheNewestOfferIsTakenOnceOffersWereCompared() {
    ConfigurationOffers offers;
    offers.Note(Node(1), 5, 0, At(0));
    CPPUNIT_ASSERT(!offers.TakeBest(0, At(0)));
    offers.Note(Node(2), 9, 0, At(100));
    offers.Note(Node(3), 8, 0, At(100));
    CPPUNIT_ASSERT(!offers.TakeBest(0, At(149)));
    CPPUNIT_ASSERT(Node(2) == offers.TakeBest(0, At(150)));
  }

  void WhereAFetchFailsTheNextNewestFollows() {
    ConfigurationOffers offers;
    offers.Note(Node(1), 5, 0, At(0));
    offers.Note(Node(2), 9, 0, At(0));
    CPPUNIT_ASSERT(Node(2) == offers.TakeBest(0, At(200)));
    CPPUNIT_ASSERT(Node(1) == offers.TakeBest(0, At(600)));
    CPPUNIT_ASSERT(!offers.TakeBest(0, At(600)));
  }

  void OffersThatAreNotNewerAreLeftOut() {
    ConfigurationOffers offers;
    offers.Note(Node(1), 0, 0, At(0));
    CPPUNIT_ASSERT(!offers.TakeBest(0, At(1000)));
    offers.Note(Node(1), 5, 0, At(1000));
    // Obtained meanwhile from another agent, a peer or the store.
    CPPUNIT_ASSERT(!offers.TakeBest(5, At(2000)));
    offers.Note(Node(1), 5, 5, At(2000));
    CPPUNIT_ASSERT(!offers.TakeBest(5, At(3000)));
  }

  void ALaterOfferOfANewerVersionIsTakenToo() {
    ConfigurationOffers offers;
    offers.Note(Node(1), 5, 0, At(0));
    CPPUNIT_ASSERT(Node(1) == offers.TakeBest(0, At(200)));
    offers.Note(Node(2), 9, 5, At(300));
    CPPUNIT_ASSERT(!offers.TakeBest(5, At(400)));
    CPPUNIT_ASSERT(Node(2) == offers.TakeBest(5, At(450)));
  }

  void ManyOffersLeaveTheNewest() {
    ConfigurationOffers offers;
    for (std::uint32_t agent = 1; agent <= 3'800; ++agent) {
      offers.Note(Node(agent), agent == 1'000 ? 9 : 5, 0, At(0));
    }
    CPPUNIT_ASSERT(Node(1'000) == offers.TakeBest(0, At(200)));
    int others = 0;
    while (offers.TakeBest(0, At(200))) {
      ++others;
    }
    CPPUNIT_ASSERT(others < 10);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationReplicaTest);

}  // namespace
}  // namespace gaugevalve::placement
