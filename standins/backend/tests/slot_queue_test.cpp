#include "slot_queue.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gaugevalve::standins {
namespace {

class SlotQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlotQueueTest);
  CPPUNIT_TEST(FirstComeFirstServedThenShed);
  CPPUNIT_TEST(AbandonedRequestsLeaveTheQueue);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FirstComeFirstServedThenShed() {
    SlotQueue queue(2, 1);
    CPPUNIT_ASSERT(queue.Arrive(1) == Admission::kRun);
    CPPUNIT_ASSERT(queue.Arrive(2) == Admission::kRun);
    CPPUNIT_ASSERT(queue.Arrive(3) == Admission::kWait);
    CPPUNIT_ASSERT(queue.Arrive(4) == Admission::kShed);
    CPPUNIT_ASSERT(queue.Finish() == SlotQueue::RequestNumber{3});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, queue.Busy());
    CPPUNIT_ASSERT(!queue.Finish());
    CPPUNIT_ASSERT(queue.Arrive(5) == Admission::kRun);
  }

  void AbandonedRequestsLeaveTheQueue() {
    SlotQueue queue(1, 2);
    queue.Arrive(1);
    queue.Arrive(2);
    queue.Arrive(3);
    CPPUNIT_ASSERT(queue.Abandon(2));
    CPPUNIT_ASSERT(!queue.Abandon(2));
    CPPUNIT_ASSERT(!queue.Abandon(1));
    CPPUNIT_ASSERT(queue.Finish() == SlotQueue::RequestNumber{3});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotQueueTest);

}  // namespace
}  // namespace gaugevalve::standins
