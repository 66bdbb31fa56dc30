#include "suspicion_tracker.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gaugevalve::membership {
namespace {

constexpr base::NodeId kNode(1);
constexpr base::Incarnation kIncarnation(5);
constexpr SuspicionLimits kLimits{std::chrono::seconds(1), std::chrono::seconds(3), 2};

base::TimePoint At(int milliseconds) {
  return base::TimePoint(std::chrono::milliseconds(milliseconds));
}

class SuspicionTrackerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SuspicionTrackerTest);
  CPPUNIT_TEST(UnconfirmedSuspicionLastsMaximum);
  CPPUNIT_TEST(ConfirmationsShortenSuspicion);
  CPPUNIT_TEST(PausePostponesDeadlines);
  CPPUNIT_TEST_SUITE_END();

 public:
  void UnconfirmedSuspicionLastsMaximum() {
    SuspicionTracker tracker;
    tracker.Start(kNode, kIncarnation, 7, kLimits, At(0));
    CPPUNIT_ASSERT(!tracker.PopExpired(At(2999)));
    const auto verdict = tracker.PopExpired(At(3000));
    CPPUNIT_ASSERT(verdict && verdict->node == kNode && verdict->incarnation == kIncarnation);
    CPPUNIT_ASSERT(!tracker.PopExpired(At(9000)));
  }

  void ConfirmationsShortenSuspicion() {
    SuspicionTracker tracker;
    tracker.Start(kNode, kIncarnation, 7, kLimits, At(0));
    CPPUNIT_ASSERT(!tracker.Confirm(kNode, kIncarnation, 7));
    CPPUNIT_ASSERT(!tracker.Confirm(kNode, base::Incarnation(4), 8));
    CPPUNIT_ASSERT(tracker.Confirm(kNode, kIncarnation, 8));
    CPPUNIT_ASSERT(tracker.NextDeadline() < At(3000));
    CPPUNIT_ASSERT(tracker.NextDeadline() > At(1000));
    CPPUNIT_ASSERT(tracker.Confirm(kNode, kIncarnation, 9));
    CPPUNIT_ASSERT(tracker.NextDeadline() == At(1000));
    CPPUNIT_ASSERT(!tracker.Confirm(kNode, kIncarnation, 10));
  }

  void PausePostponesDeadlines() {
    SuspicionTracker tracker;
    tracker.Start(kNode, kIncarnation, 7, kLimits, At(0));
    tracker.Postpone(std::chrono::seconds(60));
    CPPUNIT_ASSERT(!tracker.PopExpired(At(62999)));
    CPPUNIT_ASSERT(tracker.PopExpired(At(63000)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SuspicionTrackerTest);

}  // namespace
}  // namespace gaugevalve::membership
