#include "gaugevalve/routing/dead_agent_hold.h"

#include <cppunit/extensions/HelperMacros.h>

#include "gaugevalve/routing/freshness.h"

namespace gaugevalve::routing {
namespace {

constexpr base::NodeId kNode(7);

AgentStatus MakeStatus(std::uint64_t incarnation, AgentLiveness liveness = AgentLiveness::kLive) {
  AgentStatus status;
  status.entry.node = kNode;
  status.entry.incarnation = base::Incarnation(incarnation);
  status.liveness = liveness;
  return status;
}

base::TimePoint At(int milliseconds) {
  return base::TimePoint{} + std::chrono::milliseconds(milliseconds);
}

class DeadAgentHoldTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DeadAgentHoldTest);
  CPPUNIT_TEST(HoldsFromTheLastAnswer);
  CPPUNIT_TEST(HoldsFromTheNewsWhenNoAnswerIsKnown);
  CPPUNIT_TEST(AnotherLifeOrAFarewellNeedsNoWait);
  CPPUNIT_TEST(HoldsOnlyOnceAndNotWhoIsBack);
  CPPUNIT_TEST_SUITE_END();

 public:
  void HoldsFromTheLastAnswer() {
    DeadAgentHold hold(kDeadAgentHold);
    hold.NoteAnswered(kNode, base::Incarnation(1), At(1000));
    hold.Update(listed_, {MakeStatus(1, AgentLiveness::kDead)}, At(3000));
    CPPUNIT_ASSERT(hold.NextRelease() == At(1000) + kDeadAgentHold);
    CPPUNIT_ASSERT(!hold.Release(At(3599)));
    CPPUNIT_ASSERT(hold.Holds(kNode));
    CPPUNIT_ASSERT(hold.Release(At(3600)));
    CPPUNIT_ASSERT(!hold.Holds(kNode));
  }

  void HoldsFromTheNewsWhenNoAnswerIsKnown() {
    DeadAgentHold hold(kDeadAgentHold);
    hold.NoteAnswered(kNode, base::Incarnation(9), At(1000));  // of another life
    hold.Update(listed_, {}, At(3000));
    CPPUNIT_ASSERT(hold.NextRelease() == At(3000) + kDeadAgentHold);
  }

  void AnotherLifeOrAFarewellNeedsNoWait() {
    DeadAgentHold restarted(kDeadAgentHold);
    restarted.Update(listed_, {}, At(3000));
    restarted.Update(listed_, {MakeStatus(2)}, At(3100));
    CPPUNIT_ASSERT(!restarted.Holds(kNode));
    DeadAgentHold left(kDeadAgentHold);
    left.NoteGracefulLeave(kNode, base::Incarnation(1));
    left.Update(listed_, {}, At(3000));
    CPPUNIT_ASSERT(!left.Holds(kNode));
    DeadAgentHold left_late(kDeadAgentHold);
    left_late.Update(listed_, {}, At(3000));
    left_late.NoteGracefulLeave(kNode, base::Incarnation(1));
    CPPUNIT_ASSERT(left_late.Release(At(3000)));
  }

  // A table that nobody can replace goes on listing who is dead.
  void HoldsOnlyOnceAndNotWhoIsBack() {
    DeadAgentHold hold(kDeadAgentHold);
    hold.Update(listed_, {}, At(0));
    CPPUNIT_ASSERT(hold.Release(At(2600)));
    hold.Update(listed_, {}, At(9000));
    CPPUNIT_ASSERT(!hold.Holds(kNode));
    hold.Update(listed_, {MakeStatus(1)}, At(9100));
    hold.Update(listed_, {}, At(9200));
    CPPUNIT_ASSERT(hold.Holds(kNode));
  }

 private:
  std::vector<AgentEntry> listed_{MakeStatus(1).entry};
};

CPPUNIT_TEST_SUITE_REGISTRATION(DeadAgentHoldTest);

}  // namespace
}  // namespace gaugevalve::routing
