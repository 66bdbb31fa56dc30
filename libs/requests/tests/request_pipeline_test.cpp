#include "gaugevalve/requests/request_pipeline.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace gaugevalve::requests {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 5;

// A service of one agent, so that a permit is given at once.
class RequestPipelineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestPipelineTest);
  CPPUNIT_TEST(KeyedRequestTakesASlotOnlyAfterItsPermit);
  CPPUNIT_TEST(RepeatIsAnsweredWithoutTheEndpoint);
  CPPUNIT_TEST(KeyOfARefusedRequestMayRunLater);
  CPPUNIT_TEST(UnsentRequestIsRetriedOnceWithinTheBudget);
  CPPUNIT_TEST(BrokenExchangeIsNeverRetried);
  CPPUNIT_TEST(OverdueRequestIsGivenUpAtOnce);
  CPPUNIT_TEST(AnswerThatHasBegunIsNotCutByItsDeadline);
  CPPUNIT_TEST(CancelledKeyedRequestLeavesItsOutcomeUnknown);
  CPPUNIT_TEST(StreamOutlivesADrain);
  CPPUNIT_TEST(AnswerThatIsAStreamGivesItsSlotBack);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    PipelineSettings settings;
    settings.self = base::NodeId(1);
    settings.incarnation = base::Incarnation(1);
    settings.admission.slots = 1;
    settings.admission.queue_length = 1;
    settings.admission.streams = 1;
    settings.retry_share = 0.5;
    now_ = base::TimePoint(seconds(1000));
    pipeline_ = std::make_unique<RequestPipeline>(settings, random_, now_, now_.time_since_epoch());
    auto table = std::make_shared<routing::BucketTable>();
    table->version = {1, 0, 1};
    table->agents.push_back({base::NodeId(1), base::Incarnation(1), {}, ""});
    table->buckets.assign(4, routing::Bucket{table->version, base::NodeId(1), {}});
    pipeline_->SetTable(table, now_, now_);
    now_ += seconds(10);
    pipeline_->SetTable(table, now_, now_);
  }

  void KeyedRequestTakesASlotOnlyAfterItsPermit() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, AddRequest(1, 7).start.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pipeline_->Admission().RunningCount());
    const PipelineActions repeat = AddRequest(2, 7);
    CPPUNIT_ASSERT(repeat.refused.at(0).refusal.reason == RefusalReason::kKeyInProgress);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, pipeline_->Admission().WaitingCount());
  }

  void RepeatIsAnsweredWithoutTheEndpoint() {
    AddRequest(1, 7);
    End(1, EndpointResult::kAnswered);
    const PipelineActions repeat = AddRequest(2, 7);
    CPPUNIT_ASSERT(repeat.start.empty());
    CPPUNIT_ASSERT_EQUAL(201, repeat.repeated.at(0).answer.status);
  }

  void KeyOfARefusedRequestMayRunLater() {
    AddRequest(1);
    AddRequest(2);
    CPPUNIT_ASSERT(AddRequest(3, 7).refused.at(0).refusal.outcome == RequestOutcome::kNotRun);
    End(1, EndpointResult::kAnswered);
    End(2, EndpointResult::kAnswered);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, AddRequest(4, 7).start.size());
  }

  void UnsentRequestIsRetriedOnceWithinTheBudget() {
    AddRequest(1);
    CPPUNIT_ASSERT(End(1, EndpointResult::kNotSent).refused.at(0).refusal.outcome ==
                   RequestOutcome::kNotRun);  // half a retry was earned
    AddRequest(2);
    CPPUNIT_ASSERT(End(2, EndpointResult::kNotSent).start == std::vector<RequestId>{RequestId(2)});
    const PipelineActions again = End(2, EndpointResult::kNotSent);
    CPPUNIT_ASSERT(again.start.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, again.refused.size());
  }

  void BrokenExchangeIsNeverRetried() {
    AddRequest(1);
    AddRequest(2);
    const PipelineActions actions = End(1, EndpointResult::kFailed);
    CPPUNIT_ASSERT(actions.refused.at(0).refusal.outcome == RequestOutcome::kOutcomeUnknown);
    CPPUNIT_ASSERT(actions.start == std::vector<RequestId>{RequestId(2)});
  }

  void OverdueRequestIsGivenUpAtOnce() {
    AddRequest(1, 7);
    now_ += seconds(10);
    const PipelineActions actions = pipeline_->OnTimer(now_);
    CPPUNIT_ASSERT(actions.abandon == std::vector<RequestId>{RequestId(1)});
    CPPUNIT_ASSERT(actions.refused.at(0).refusal.reason == RefusalReason::kDeadlineAfterStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, pipeline_->Admission().RunningCount());
  }

  void AnswerThatHasBegunIsNotCutByItsDeadline() {
    AddRequest(1);
    pipeline_->MarkAnswerBegun(RequestId(1));
    now_ += seconds(60);
    CPPUNIT_ASSERT(pipeline_->OnTimer(now_).abandon.empty());
  }

  void CancelledKeyedRequestLeavesItsOutcomeUnknown() {
    AddRequest(1, 7);
    pipeline_->Cancel(RequestId(1), now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, pipeline_->Admission().RunningCount());
    const PipelineActions repeat = AddRequest(2, 7);
    CPPUNIT_ASSERT(repeat.start.empty());
    CPPUNIT_ASSERT(repeat.refused.at(0).refusal.outcome == RequestOutcome::kOutcomeUnknown);
  }

  void StreamOutlivesADrain() {
    IncomingRequest stream;
    stream.id = RequestId(1);
    stream.is_stream = true;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pipeline_->AddRequest(stream, now_).start.size());
    pipeline_->SetDraining(true);
    now_ += seconds(3600);
    CPPUNIT_ASSERT(pipeline_->OnTimer(now_).abandon.empty());
    CPPUNIT_ASSERT(AddRequest(2).refused.at(0).refusal.reason == RefusalReason::kDraining);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pipeline_->Admission().StreamCount());
  }

  void AnswerThatIsAStreamGivesItsSlotBack() {
    AddRequest(1);
    CPPUNIT_ASSERT(AddRequest(2).start.empty());
    const PipelineActions actions = pipeline_->MarkAsStream(RequestId(1), now_);
    CPPUNIT_ASSERT(actions.start == std::vector<RequestId>{RequestId(2)});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pipeline_->Admission().StreamCount());
    End(1, EndpointResult::kAnswered);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, pipeline_->Admission().StreamCount());
  }

 private:
  PipelineActions AddRequest(std::uint64_t id, std::optional<std::uint64_t> key = std::nullopt) {
    IncomingRequest request;
    request.id = RequestId(id);
    if (key) {
      request.key = RequestKey{{*key, *key}, 1, now_.time_since_epoch()};
    }
    return pipeline_->AddRequest(request, now_);
  }

  PipelineActions End(std::uint64_t id, EndpointResult end) {
    return pipeline_->FinishAtEndpoint(RequestId(id), end, {201, "text/plain", "done"}, now_);
  }

  base::RandomSource random_{kSeed};
  base::TimePoint now_;
  std::unique_ptr<RequestPipeline> pipeline_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestPipelineTest);

}  // namespace
}  // namespace gaugevalve::requests
