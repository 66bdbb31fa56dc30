#include "gaugevalve/dissemination/dissemination_core.h"

#include <cppunit/extensions/HelperMacros.h>

#include "core_cluster.h"

namespace gaugevalve::dissemination {
namespace {

constexpr RecordKey kRoot{1, 0};
constexpr RecordKey kRoster{3, 0};
constexpr std::uint32_t kService = 42;
constexpr RecordKey kTable{4, kService};

// Returns a value that hardly compresses and is therefore too large to be pushed.
std::string RandomBytes(std::size_t size, std::uint64_t seed) {
  base::RandomSource random(seed);
  std::string bytes(size, '\0');
  for (char& byte : bytes) {
    byte = static_cast<char>(random.NextBelow(256));
  }
  return bytes;
}

class DisseminationCoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DisseminationCoreTest);
  CPPUNIT_TEST(RecordReachesEveryNode);
  CPPUNIT_TEST(LargeRecordReachesEveryNode);
  CPPUNIT_TEST(LossIsRepaired);
  CPPUNIT_TEST(SmallChangeIsSentAsPatch);
  CPPUNIT_TEST(IsolatedNodeCatchesUp);
  CPPUNIT_TEST(JoiningNodeReadsEverything);
  CPPUNIT_TEST(NarrowNodeReceivesOnlyItsScope);
  CPPUNIT_TEST(MalformedMessageIsCounted);
  CPPUNIT_TEST(BurstStaysWithinBudget);
  CPPUNIT_TEST(ChangesInABurstAreSentAsOneUpdate);
  CPPUNIT_TEST(AssignedNodesUpdateNarrowPeersWhenAuthorIsBusy);
  CPPUNIT_TEST_SUITE_END();

  static std::size_t CountHolders(CoreCluster& cluster, const RecordKey& key,
                                  std::uint64_t version) {
    std::size_t count = 0;
    for (std::size_t index = 0; index < cluster.Size(); ++index) {
      const RecordStamp stamp = cluster.Core(index).Records().StampOf(key);
      count += stamp.version.major == version ? 1 : 0;
    }
    return count;
  }

  void RecordReachesEveryNode() {
    CoreCluster cluster(50, 1, 0);
    cluster.Publish(7, kRoot, 1, "settings");
    cluster.Run(std::chrono::seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t{50}, CountHolders(cluster, kRoot, 1));
    CPPUNIT_ASSERT(cluster.Core(3).ConfirmedAt() > base::TimePoint{});
  }

  void LargeRecordReachesEveryNode() {
    CoreCluster cluster(50, 2, 0);
    cluster.Publish(7, kRoot, 1, RandomBytes(2000, 2));
    cluster.Run(std::chrono::seconds(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t{50}, CountHolders(cluster, kRoot, 1));
    std::uint64_t duplicates = 0;
    for (std::size_t index = 0; index < cluster.Size(); ++index) {
      duplicates += cluster.Core(index).Counters().duplicates_received;
    }
    CPPUNIT_ASSERT(duplicates < 25);  // announced and requested, not pushed
  }

  void LossIsRepaired() {
    CoreCluster cluster(30, 3, 0.3);
    for (std::uint64_t version = 1; version <= 40; ++version) {
      cluster.Publish(version % 30, {2, static_cast<std::uint32_t>(version)}, version, "value");
      cluster.Publish(version % 30, kRoot, version, "root" + std::to_string(version));
      cluster.Run(std::chrono::milliseconds(50));
    }
    cluster.Run(std::chrono::seconds(30));
    CPPUNIT_ASSERT_EQUAL(std::size_t{30}, CountHolders(cluster, kRoot, 40));
    for (std::size_t index = 0; index < cluster.Size(); ++index) {
      CPPUNIT_ASSERT_EQUAL(cluster.Core(0).Records().Digests().Root(),
                           cluster.Core(index).Records().Digests().Root());
    }
  }

  void SmallChangeIsSentAsPatch() {
    CoreCluster cluster(20, 4, 0);
    std::string value = RandomBytes(4000, 4);
    cluster.Publish(0, kTable, 1, value);
    cluster.Run(std::chrono::seconds(20));
    const std::uint64_t before = BytesSent(cluster);
    value.replace(500, 4, "edit");
    cluster.Publish(0, kTable, 2, value);
    cluster.Run(std::chrono::seconds(3));
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, CountHolders(cluster, kTable, 2));
    CPPUNIT_ASSERT(BytesSent(cluster) - before < 20 * 2500);
  }

  static std::uint64_t BytesSent(CoreCluster& cluster) {
    std::uint64_t bytes = 0;
    for (std::size_t index = 0; index < cluster.Size(); ++index) {
      bytes += cluster.Core(index).Counters().bytes_sent;
    }
    return bytes;
  }

  void IsolatedNodeCatchesUp() {
    CoreCluster cluster(10, 5, 0);
    std::string value = RandomBytes(5000, 5);
    cluster.Publish(0, kTable, 1, value);
    cluster.Run(std::chrono::seconds(5));
    cluster.SetIsolated(9, true);
    for (std::uint64_t version = 2; version <= 9; ++version) {
      value.replace(version * 100, 4, "edit");
      cluster.Publish(0, kTable, version, value);
      cluster.Run(std::chrono::seconds(1));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{9}, CountHolders(cluster, kTable, 9));
    cluster.SetIsolated(9, false);
    cluster.Run(std::chrono::seconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, CountHolders(cluster, kTable, 9));
    CPPUNIT_ASSERT_EQUAL(value, *cluster.Core(9).Records().Find(kTable)->value);
  }

  void JoiningNodeReadsEverything() {
    CoreCluster cluster(5, 6, 0);
    for (std::uint32_t scope = 1; scope <= 300; ++scope) {
      cluster.Publish(scope % 5, {2, scope}, 1, RandomBytes(400, scope));
    }
    cluster.Run(std::chrono::seconds(60));
    Interest everything;
    everything.everything = true;
    const std::size_t joiner = cluster.Add(everything);
    CPPUNIT_ASSERT(!cluster.Core(joiner).HasJoined());
    cluster.Run(std::chrono::seconds(15));
    CPPUNIT_ASSERT(cluster.Core(joiner).HasJoined());
    CPPUNIT_ASSERT_EQUAL(std::size_t{300}, cluster.Core(joiner).Records().RecordCount());
  }

  void NarrowNodeReceivesOnlyItsScope() {
    CoreCluster cluster(10, 7, 0);
    Interest narrow;
    narrow.scope = kService;
    narrow.common_kinds = 1U << kRoster.kind;
    const std::size_t agent = cluster.Add(narrow);
    cluster.Publish(0, kTable, 1, "table");
    cluster.Publish(1, {4, 43}, 1, "another service's table");
    cluster.Publish(2, kRoster, 1, "roster");
    cluster.Publish(3, kRoot, 1, "root");
    cluster.Run(std::chrono::seconds(10));
    const RecordStore& records = cluster.Core(agent).Records();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, records.RecordCount());
    CPPUNIT_ASSERT(records.Find(kTable) != nullptr && records.Find(kRoster) != nullptr);
    CPPUNIT_ASSERT(cluster.Core(agent).ConfirmedAt() > base::TimePoint{});
  }

  void MalformedMessageIsCounted() {
    CoreCluster cluster(2, 8, 0);
    Actions actions;
    cluster.Core(0).Receive(base::NodeId(2), "\xff\xff\xff", base::TimePoint{}, actions);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, cluster.Core(0).Counters().malformed_messages);
    CPPUNIT_ASSERT(actions.messages.empty() && actions.changed.empty());
  }

  void BurstStaysWithinBudget() {
    CoreCluster cluster(10, 9, 0);
    cluster.Run(std::chrono::seconds(5));
    const std::uint64_t before = BytesSentWithoutPages(cluster.Core(0));
    for (std::uint32_t scope = 1; scope <= 400; ++scope) {
      cluster.Publish(0, {2, scope}, 1, RandomBytes(500, scope));
    }
    cluster.Run(std::chrono::seconds(10));
    // Twice 1,500 bytes per second plus an initial burst of 16,384 bytes each. The remainder is for
    // the small messages of comparisons, which are not limited. Without limits, 400 records would
    // be sent to four peers.
    constexpr std::uint64_t kBudgetBytes = 2 * (15000 + 16384);
    constexpr std::uint64_t kComparisonBytes = 35000;
    CPPUNIT_ASSERT(BytesSentWithoutPages(cluster.Core(0)) - before <
                   kBudgetBytes + kComparisonBytes);
    cluster.Run(std::chrono::seconds(60));
    CPPUNIT_ASSERT_EQUAL(std::size_t{400}, cluster.Core(9).Records().RecordCount());
  }

  // No other node holds the intermediate versions, so no patch may be based on one.
  void ChangesInABurstAreSentAsOneUpdate() {
    CoreCluster cluster(20, 10, 0);
    std::string value = RandomBytes(4000, 10);
    cluster.Publish(0, kRoot, 1, value);
    cluster.Run(std::chrono::seconds(20));
    const std::uint64_t before = BytesSent(cluster);
    const std::uint64_t superseded_before = cluster.Core(0).Counters().updates_superseded;
    for (std::uint64_t version = 2; version <= 51; ++version) {
      value.replace(version * 10, 4, "edit");
      cluster.Publish(0, kRoot, version, value);
    }
    const std::uint64_t superseded = cluster.Core(0).Counters().updates_superseded;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{49 * 5}, superseded - superseded_before);
    cluster.Run(std::chrono::seconds(3));
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, CountHolders(cluster, kRoot, 51));
    CPPUNIT_ASSERT_EQUAL(value, *cluster.Core(19).Records().Find(kRoot)->value);
    for (std::size_t index = 0; index < cluster.Size(); ++index) {
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, cluster.Core(index).Counters().patches_without_base);
    }
    CPPUNIT_ASSERT(BytesSent(cluster) - before <
                   20 * 4000);  // less than a whole value for each node
  }

  void AssignedNodesUpdateNarrowPeersWhenAuthorIsBusy() {
    CoreCluster cluster(10, 11, 0);
    Interest narrow;
    narrow.scope = kService;
    std::size_t agent = 0;
    for (int count = 0; count < 40; ++count) {
      agent = cluster.Add(narrow);
    }
    cluster.Run(std::chrono::seconds(5));
    for (std::uint32_t scope = 100; scope < 130; ++scope) {
      cluster.Publish(0, {2, scope}, 1, RandomBytes(100, scope));
    }
    const std::uint64_t before = cluster.Core(0).Counters().messages_sent;
    cluster.Publish(0, kTable, 1, "table");
    cluster.Run(std::chrono::milliseconds(600));
    // The busy author sends to few peers itself. Comparisons run every three seconds, too late to
    // deliver the record.
    CPPUNIT_ASSERT(cluster.Core(0).Counters().messages_sent - before < 40);
    CPPUNIT_ASSERT_EQUAL(std::size_t{50}, CountHolders(cluster, kTable, 1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cluster.Core(agent).Records().RecordCount());
  }

  static std::uint64_t BytesSentWithoutPages(const DisseminationCore& core) {
    return core.Counters().bytes_sent - core.Counters().page_bytes_sent;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DisseminationCoreTest);

}  // namespace
}  // namespace gaugevalve::dissemination
