#include "update_queue.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace gaugevalve::membership {
namespace {

using Nodes = std::vector<std::uint64_t>;

Nodes TakeSome(UpdateQueue& queue, std::size_t room, std::uint32_t limit) {
  Nodes taken;
  queue.Take(limit, [&](base::NodeId node, AccuserTag) {
    if (taken.size() >= room) {
      return false;
    }
    taken.push_back(node.value());
    return true;
  });
  return taken;
}

class UpdateQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UpdateQueueTest);
  CPPUNIT_TEST(LeastSentGoesFirst);
  CPPUNIT_TEST(EnqueueResetsTransmissionCount);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LeastSentGoesFirst() {
    UpdateQueue queue;
    for (const std::uint64_t node : {1, 2, 3}) {
      queue.Enqueue(base::NodeId(node), 0);
    }
    CPPUNIT_ASSERT((TakeSome(queue, 2, 2) == Nodes{1, 2}));
    CPPUNIT_ASSERT((TakeSome(queue, 2, 2) == Nodes{3, 1}));
    CPPUNIT_ASSERT((TakeSome(queue, 9, 2) == Nodes{2, 3}));
    CPPUNIT_ASSERT(queue.empty());
  }

  void EnqueueResetsTransmissionCount() {
    UpdateQueue queue;
    queue.Enqueue(base::NodeId(1), 0);
    TakeSome(queue, 1, 2);
    queue.Enqueue(base::NodeId(1), 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue.size());
    TakeSome(queue, 1, 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpdateQueueTest);

}  // namespace
}  // namespace gaugevalve::membership
