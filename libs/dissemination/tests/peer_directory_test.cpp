#include "gaugevalve/dissemination/peer_directory.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace gaugevalve::dissemination {
namespace {

constexpr std::uint32_t kService = 42;
constexpr RecordKey kTable{4, kService};
constexpr std::uint64_t kFirstAgent = 1000;
constexpr std::uint64_t kAgents = 200;

Peer MakePeer(std::uint64_t node) {
  Interest interest;
  interest.everything = node < kFirstAgent;
  interest.scope = interest.everything ? 0 : kService;
  return {base::NodeId(node), "zone", interest};
}

class PeerDirectoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerDirectoryTest);
  CPPUNIT_TEST(EveryNarrowPeerHasTwoFeeders);
  CPPUNIT_TEST(OneFullNodeFeedsAll);
  CPPUNIT_TEST(NarrowNodeFeedsNobody);
  CPPUNIT_TEST_SUITE_END();

  // Returns how many narrow peers the node feeds, counting each peer's feeders.
  static std::size_t Feed(std::uint64_t self, std::uint64_t full_nodes,
                          std::map<base::NodeId, int>& feeders) {
    base::RandomSource random(self);
    PeerDirectory directory(MakePeer(self), random);
    for (std::uint64_t node = 1; node <= full_nodes; ++node) {
      if (node != self) {
        directory.Upsert(MakePeer(node));
      }
    }
    for (std::uint64_t node = kFirstAgent; node < kFirstAgent + kAgents; ++node) {
      if (node != self) {
        directory.Upsert(MakePeer(node));
      }
    }
    const std::vector<base::NodeId> fed = directory.FedPeersOfScope(kTable);
    for (const base::NodeId node : fed) {
      ++feeders[node];
    }
    CPPUNIT_ASSERT(directory.FedPeersOfScope({4, kService + 1}).empty());
    return fed.size();
  }

  void EveryNarrowPeerHasTwoFeeders() {
    std::map<base::NodeId, int> feeders;
    constexpr std::uint64_t kFullNodes = 20;
    for (std::uint64_t self = 1; self <= kFullNodes; ++self) {
      CPPUNIT_ASSERT(Feed(self, kFullNodes, feeders) < kAgents / 2);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{kAgents}, feeders.size());
    for (const auto& [node, count] : feeders) {
      CPPUNIT_ASSERT_EQUAL(2, count);
    }
  }

  void OneFullNodeFeedsAll() {
    std::map<base::NodeId, int> feeders;
    CPPUNIT_ASSERT_EQUAL(std::size_t{kAgents}, Feed(1, 1, feeders));
  }

  void NarrowNodeFeedsNobody() {
    std::map<base::NodeId, int> feeders;
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Feed(kFirstAgent, 5, feeders));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerDirectoryTest);

}  // namespace
}  // namespace gaugevalve::dissemination
