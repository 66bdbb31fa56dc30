#include "peer_outbox.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <vector>

#include "gaugevalve/tasks/task.h"

namespace gaugevalve::agent {
namespace {

using transport::TrafficClass;

constexpr std::size_t kCapacity = 8;

class PeerOutboxTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerOutboxTest);
  CPPUNIT_TEST(FramesLeaveRoomForControlMessages);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against executors taken for lost because frames of bodies fill the outbox and heartbeats
  // are dropped.
  void FramesLeaveRoomForControlMessages() {
    const tasks::LoopPointer loop = tasks::MakeLoop();
    std::vector<TrafficClass> sent;
    PeerOutbox outbox(loop.get(), kCapacity,
                      [&](const OutgoingPeerMessage& message) { sent.push_back(message.traffic); });
    while (outbox.RefusedCount() == 0) {
      outbox.Send({base::NodeId(1), "frame", TrafficClass::kBulk});
    }
    outbox.Send({base::NodeId(1), "heartbeat", TrafficClass::kControl});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, outbox.RefusedCount());
    event_base_loop(loop.get(), EVLOOP_NONBLOCK);
    CPPUNIT_ASSERT_EQUAL(kCapacity + 1, sent.size());
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1},
                         std::count(sent.begin(), sent.end(), TrafficClass::kControl));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerOutboxTest);

}  // namespace
}  // namespace gaugevalve::agent
