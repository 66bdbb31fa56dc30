#include "gaugevalve/requests/admission_queue.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace gaugevalve::requests {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kSeed = 11;

class AdmissionQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdmissionQueueTest);
  CPPUNIT_TEST(FillsSlotsBeforeTheQueue);
  CPPUNIT_TEST(FullQueueRefusesImmediatelyWithRetryAfter);
  CPPUNIT_TEST(MoreUrgentRequestDisplacesTheLastOne);
  CPPUNIT_TEST(EarlierDeadlineStartsFirst);
  CPPUNIT_TEST(UnmeetableDeadlineIsRefusedOnSubmission);
  CPPUNIT_TEST(WaitingRequestIsRefusedWhenItsDeadlineBecomesUnmeetable);
  CPPUNIT_TEST(BrownOutReservesCapacityForUrgentRequests);
  CPPUNIT_TEST(DrainingRefusesNewRequestsAndRunsWaitingOnes);
  CPPUNIT_TEST(StreamsUseNoSlotAndAreBounded);
  CPPUNIT_TEST(ShrunkQueueRefusesTheExcess);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FillsSlotsBeforeTheQueue() {
    AdmissionQueue queue(Limits(2, 1), random_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Submit(queue, 1).start.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Submit(queue, 2).start.size());
    CPPUNIT_ASSERT(Submit(queue, 3).start.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue.WaitingCount());
    const AdmissionActions actions = queue.Finish(RequestId(1), true, now_ + milliseconds(100));
    CPPUNIT_ASSERT(actions.start == std::vector<RequestId>{RequestId(3)});
  }

  void FullQueueRefusesImmediatelyWithRetryAfter() {
    AdmissionQueue queue(Limits(1, 1), random_);
    Submit(queue, 1);
    Submit(queue, 2);
    const AdmissionActions actions = Submit(queue, 3);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.refused.size());
    CPPUNIT_ASSERT(actions.refused[0].id == RequestId(3));
    CPPUNIT_ASSERT(actions.refused[0].refusal.reason == RefusalReason::kQueueFull);
    CPPUNIT_ASSERT(actions.refused[0].refusal.outcome == RequestOutcome::kNotRun);
    CPPUNIT_ASSERT(RetryAfterSeconds(actions.refused[0].refusal) >= 1);
  }

  void MoreUrgentRequestDisplacesTheLastOne() {
    AdmissionQueue queue(Limits(1, 1), random_);
    Submit(queue, 1);
    Submit(queue, 2);
    const AdmissionActions actions =
        queue.Submit({RequestId(3), now_ + milliseconds(5000), 0}, now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.refused.size());
    CPPUNIT_ASSERT(actions.refused[0].id == RequestId(2));
  }

  void EarlierDeadlineStartsFirst() {
    AdmissionQueue queue(Limits(1, 5), random_);
    Submit(queue, 1);
    queue.Submit({RequestId(2), now_ + milliseconds(9000), 3}, now_);
    queue.Submit({RequestId(3), now_ + milliseconds(4000), 3}, now_);
    const AdmissionActions actions = queue.Finish(RequestId(1), true, now_ + milliseconds(100));
    CPPUNIT_ASSERT(actions.start == std::vector<RequestId>{RequestId(3)});
  }

  void UnmeetableDeadlineIsRefusedOnSubmission() {
    AdmissionQueue queue(Limits(1, 5), random_);
    Submit(queue, 1);
    const AdmissionActions actions =
        queue.Submit({RequestId(2), now_ + milliseconds(150), 3}, now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.refused.size());
    CPPUNIT_ASSERT(actions.refused[0].refusal.reason == RefusalReason::kDeadlineTooShort);
  }

  void WaitingRequestIsRefusedWhenItsDeadlineBecomesUnmeetable() {
    AdmissionQueue queue(Limits(1, 5), random_);
    Submit(queue, 1);
    queue.Submit({RequestId(2), now_ + milliseconds(300), 3}, now_);
    const base::TimePoint due = *queue.NextDeadline();
    CPPUNIT_ASSERT(due == now_ + milliseconds(200));
    const AdmissionActions actions = queue.OnTimer(due + milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.refused.size());
    CPPUNIT_ASSERT(!queue.NextDeadline().has_value());
  }

  void BrownOutReservesCapacityForUrgentRequests() {
    AdmissionLimits limits = Limits(1, 4);
    limits.brown_out_enter = 0.6;
    limits.brown_out_leave = 0.3;
    AdmissionQueue queue(limits, random_);
    for (std::uint64_t id = 1; id <= 3; ++id) {
      Submit(queue, id);
    }
    CPPUNIT_ASSERT(SubmitUnurgent(queue, 4).refused.at(0).refusal.reason ==
                   RefusalReason::kBrownOut);
    CPPUNIT_ASSERT(Submit(queue, 5).refused.empty());
    queue.Finish(RequestId(1), true, now_);
    queue.Finish(RequestId(2), true, now_);  // 2 of 5 in use: above the lower threshold
    CPPUNIT_ASSERT(SubmitUnurgent(queue, 6).refused.at(0).refusal.reason ==
                   RefusalReason::kBrownOut);
    queue.Finish(RequestId(3), true, now_);
    CPPUNIT_ASSERT(SubmitUnurgent(queue, 7).refused.empty());
  }

  void DrainingRefusesNewRequestsAndRunsWaitingOnes() {
    AdmissionQueue queue(Limits(1, 1), random_);
    Submit(queue, 1);
    Submit(queue, 2);
    queue.SetDraining(true);
    CPPUNIT_ASSERT(Submit(queue, 3).refused.at(0).refusal.reason == RefusalReason::kDraining);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue.Finish(RequestId(1), true, now_).start.size());
  }

  void StreamsUseNoSlotAndAreBounded() {
    AdmissionQueue queue(Limits(1, 0), random_);
    CPPUNIT_ASSERT(!queue.OpenStream(RequestId(1)).has_value());
    CPPUNIT_ASSERT(!queue.OpenStream(RequestId(2)).has_value());
    CPPUNIT_ASSERT(queue.OpenStream(RequestId(3))->reason == RefusalReason::kStreamLimit);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Submit(queue, 4).start.size());
    queue.CloseStream(RequestId(1));
    CPPUNIT_ASSERT(!queue.OpenStream(RequestId(5)).has_value());
  }

  void ShrunkQueueRefusesTheExcess() {
    AdmissionQueue queue(Limits(1, 3), random_);
    for (std::uint64_t id = 1; id <= 4; ++id) {
      Submit(queue, id);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, queue.SetLimits(Limits(1, 1), now_).refused.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue.WaitingCount());
  }

 private:
  static AdmissionLimits Limits(std::uint32_t slots, std::uint32_t queue_length) {
    AdmissionLimits limits;
    limits.slots = slots;
    limits.queue_length = queue_length;
    limits.streams = 2;
    return limits;
  }

  AdmissionActions Submit(AdmissionQueue& queue, std::uint64_t id) {
    return queue.Submit({RequestId(id), now_ + milliseconds(5000), kDefaultUrgency}, now_);
  }

  AdmissionActions SubmitUnurgent(AdmissionQueue& queue, std::uint64_t id) {
    return queue.Submit({RequestId(id), now_ + milliseconds(9000), kLowestUrgency}, now_);
  }

  base::RandomSource random_{kSeed};
  base::TimePoint now_{std::chrono::seconds(100)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionQueueTest);

}  // namespace
}  // namespace gaugevalve::requests
