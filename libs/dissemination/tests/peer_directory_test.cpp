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
  CPPUNIT_TEST(EveryNarrowPeerHasTwoAssignedNodes);
  CPPUNIT_TEST(OneFullNodeIsAssignedAllNarrowPeers);
  CPPUNIT_TEST(NarrowNodeIsAssignedNoPeers);
  CPPUNIT_TEST_SUITE_END();

  // Returns how many narrow peers are assigned to the node, and increments the count of each such
  // peer.
  static std::size_t CountAssigned(std::uint64_t self, std::uint64_t full_nodes,
                                   std::map<base::NodeId, int>& assignment_counts) {
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
    const std::vector<base::NodeId> assigned = directory.AssignedPeersOfScope(kTable);
    for (const base::NodeId node : assigned) {
      ++assignment_counts[node];
    }
    CPPUNIT_ASSERT(directory.AssignedPeersOfScope({4, kService + 1}).empty());
    return assigned.size();
  }

  void EveryNarrowPeerHasTwoAssignedNodes() {
    std::map<base::NodeId, int> assignment_counts;
    constexpr std::uint64_t kFullNodes = 20;
    for (std::uint64_t self = 1; self <= kFullNodes; ++self) {
      CPPUNIT_ASSERT(CountAssigned(self, kFullNodes, assignment_counts) < kAgents / 2);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{kAgents}, assignment_counts.size());
    for (const auto& [node, count] : assignment_counts) {
      CPPUNIT_ASSERT_EQUAL(2, count);
    }
  }

  void OneFullNodeIsAssignedAllNarrowPeers() {
    std::map<base::NodeId, int> assignment_counts;
    CPPUNIT_ASSERT_EQUAL(std::size_t{kAgents}, CountAssigned(1, 1, assignment_counts));
  }

  void NarrowNodeIsAssignedNoPeers() {
    std::map<base::NodeId, int> assignment_counts;
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, CountAssigned(kFirstAgent, 5, assignment_counts));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerDirectoryTest);

}  // namespace
}  // namespace gaugevalve::dissemination
