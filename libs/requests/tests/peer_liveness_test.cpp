#include "gaugevalve/requests/peer_liveness.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gaugevalve::requests {
namespace {

using std::chrono::seconds;

constexpr base::Duration kTimeout = seconds(3);
constexpr base::Duration kLiveTimeout = seconds(10);
constexpr base::TimePoint kStart(seconds(100));
constexpr AgentIncarnation kAgent{base::NodeId(2), base::Incarnation(7)};

class PeerLivenessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerLivenessTest);
  CPPUNIT_TEST(AnotherIncarnationIsNotListed);
  CPPUNIT_TEST(AContactCountsForTheTimeout);
  CPPUNIT_TEST(AnOlderContactChangesNothing);
  CPPUNIT_TEST(SilenceIsMeasuredForTheLongerTimeout);
  CPPUNIT_TEST(OwnPausesAreNoSilence);
  CPPUNIT_TEST_SUITE_END();

  PeerLiveness liveness_{kTimeout, kLiveTimeout};

  void List(const AgentIncarnation& agent) {
    liveness_.SetLiveAgents(std::make_shared<const LiveAgents>(LiveAgents{agent}));
  }

  void NoteContact(base::TimePoint heard_at) {
    liveness_.NoteContact({kAgent, routing::ContactSource::kControl, heard_at});
  }

 public:
  void AnotherIncarnationIsNotListed() {
    List(kAgent);
    CPPUNIT_ASSERT(!liveness_.IsLost(kAgent, kStart, kStart + kTimeout));
    List({kAgent.node, base::Incarnation(8)});
    CPPUNIT_ASSERT(liveness_.IsLost(kAgent, kStart, kStart + kTimeout));
    List({base::NodeId(3), kAgent.incarnation});
    CPPUNIT_ASSERT(liveness_.IsLost(kAgent, kStart, kStart + kTimeout));
  }

  void AContactCountsForTheTimeout() {
    NoteContact(kStart + seconds(2));
    CPPUNIT_ASSERT(!liveness_.IsLost(kAgent, kStart, kStart + seconds(4)));
    CPPUNIT_ASSERT(liveness_.IsLost(kAgent, kStart, kStart + seconds(5)));
  }

  void AnOlderContactChangesNothing() {
    NoteContact(kStart + seconds(2));
    NoteContact(kStart + seconds(1));
    CPPUNIT_ASSERT(liveness_.LastContact(kAgent)->heard_at == kStart + seconds(2));
  }

  // The agent was heard about another request, and was forgotten too early.
  void SilenceIsMeasuredForTheLongerTimeout() {
    List(kAgent);
    liveness_.NoteMessage(kAgent, kStart + seconds(5));
    liveness_.ForgetLost(kStart + seconds(9));
    CPPUNIT_ASSERT(liveness_.Silence(kAgent, kStart, kStart + seconds(9)) == seconds(4));
    CPPUNIT_ASSERT(!liveness_.IsLost(kAgent, kStart, kStart + seconds(14)));
    CPPUNIT_ASSERT(liveness_.IsLost(kAgent, kStart, kStart + seconds(15)));
  }

  void OwnPausesAreNoSilence() {
    NoteContact(kStart);
    liveness_.SkipPause(seconds(5), kStart + seconds(6));
    CPPUNIT_ASSERT(liveness_.IsKnownToLive(kAgent, kStart + seconds(7)));
    CPPUNIT_ASSERT(!liveness_.IsKnownToLive(kAgent, kStart + seconds(8)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerLivenessTest);

}  // namespace
}  // namespace gaugevalve::requests
