#include "reservation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gaugevalve::callers {
namespace {

class ReservationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReservationTest);
  CPPUNIT_TEST(RefusedOnlyWhenEachAttemptIs);
  CPPUNIT_TEST(AttemptWithoutEndLeavesItUnknown);
  CPPUNIT_TEST(LateAnswerOfAnAttemptGivenUpCounts);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RefusedOnlyWhenEachAttemptIs() {
    Reservation reservation("key");
    reservation.End(reservation.Begin(kNow), CallerOutcome::kNotRun);
    CPPUNIT_ASSERT(reservation.Verdict() == CallerOutcome::kNotRun);
    reservation.End(reservation.Begin(kNow), CallerOutcome::kUnknown);
    reservation.End(reservation.Begin(kNow), CallerOutcome::kNotRun);
    CPPUNIT_ASSERT(reservation.Verdict() == CallerOutcome::kUnknown);
  }

  void AttemptWithoutEndLeavesItUnknown() {
    Reservation reservation("key");
    const std::size_t first = reservation.Begin(kNow);
    reservation.End(reservation.Begin(kNow), CallerOutcome::kNotRun);
    CPPUNIT_ASSERT(reservation.IsRunning(first));
    CPPUNIT_ASSERT(reservation.Verdict() == CallerOutcome::kUnknown);
  }

  void LateAnswerOfAnAttemptGivenUpCounts() {
    Reservation reservation("key");
    const std::size_t first = reservation.Begin(kNow);
    reservation.End(reservation.Begin(kNow), CallerOutcome::kUnknown);
    reservation.End(first, CallerOutcome::kAnswered);
    CPPUNIT_ASSERT(reservation.Verdict() == CallerOutcome::kAnswered);
  }

 private:
  static constexpr base::TimePoint kNow{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReservationTest);

}  // namespace
}  // namespace gaugevalve::callers
