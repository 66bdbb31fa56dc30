#include "gaugevalve/routing/bucket_table.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace gaugevalve::routing {
namespace {

constexpr std::size_t kBuckets = 64;

std::vector<AgentEntry> MakeAgents(int count) {
  std::vector<AgentEntry> agents;
  for (int index = 0; index < count; ++index) {
    AgentEntry agent;
    agent.node = base::MakeNodeId("agent-" + std::to_string(index));
    agent.incarnation = base::Incarnation(1);
    agents.push_back(agent);
  }
  return agents;
}

class BucketTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BucketTableTest);
  CPPUNIT_TEST(InitialTableIsEven);
  CPPUNIT_TEST(InitialTableDoesNotDependOnTheOrderOfAgents);
  CPPUNIT_TEST(DeltaTurnsOneTableIntoTheOther);
  CPPUNIT_TEST(DeltaOfAnotherBaseIsRefused);
  CPPUNIT_TEST(DeltaPastTheEndChangesNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void InitialTableIsEven() {
    const BucketTable table =
        MakeInitialTable(base::ServiceId(1), {1, 0, 1}, MakeAgents(3), kBuckets);
    std::map<base::NodeId, int> owned;
    for (const Bucket& bucket : table.buckets) {
      ++owned[bucket.owner];
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, owned.size());
    for (const auto& [node, count] : owned) {
      CPPUNIT_ASSERT(count <= 22);
    }
  }

  void InitialTableDoesNotDependOnTheOrderOfAgents() {
    std::vector<AgentEntry> reversed = MakeAgents(5);
    std::reverse(reversed.begin(), reversed.end());
    CPPUNIT_ASSERT(MakeInitialTable(base::ServiceId(1), {1, 0, 1}, MakeAgents(5), kBuckets) ==
                   MakeInitialTable(base::ServiceId(1), {1, 0, 1}, reversed, kBuckets));
  }

  void DeltaTurnsOneTableIntoTheOther() {
    BucketTable before = MakeInitialTable(base::ServiceId(1), {1, 0, 1}, MakeAgents(3), kBuckets);
    const BucketTable after =
        MakeInitialTable(base::ServiceId(1), {1, 0, 2}, MakeAgents(4), kBuckets);
    CPPUNIT_ASSERT(before.Apply(MakeDelta(before, after)));
    CPPUNIT_ASSERT(before == after);
  }

  void DeltaOfAnotherBaseIsRefused() {
    BucketTable table = MakeInitialTable(base::ServiceId(1), {1, 0, 1}, MakeAgents(3), kBuckets);
    const BucketTable original = table;
    TableDelta delta{base::ServiceId(1), {1, 0, 5}, {1, 0, 6}, {}, {}};
    CPPUNIT_ASSERT(!table.Apply(delta));
    CPPUNIT_ASSERT(table == original);
  }

  void DeltaPastTheEndChangesNothing() {
    BucketTable table = MakeInitialTable(base::ServiceId(1), {1, 0, 1}, MakeAgents(3), kBuckets);
    const BucketTable original = table;
    TableDelta delta{base::ServiceId(1), {1, 0, 1}, {1, 0, 2}, {}, {}};
    delta.changes.push_back({base::BucketIndex(kBuckets), Bucket{{1, 0, 2}, base::NodeId(9), {}}});
    CPPUNIT_ASSERT(!table.Apply(delta));
    CPPUNIT_ASSERT(table == original);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BucketTableTest);

}  // namespace
}  // namespace gaugevalve::routing
