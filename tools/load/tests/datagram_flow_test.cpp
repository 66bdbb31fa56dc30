#include "datagram_flow.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace gaugevalve::load {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kNumber = 9;

standins::EchoAnswer Answer(std::uint64_t number, const std::string& endpoint,
                            const std::string& service = "stock") {
  return {{"stock", kNumber, number}, endpoint, service};
}

class DatagramFlowTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DatagramFlowTest);
  CPPUNIT_TEST(RequestsFollowAnswersUntilTheEnd);
  CPPUNIT_TEST(AnUnansweredRequestIsSentAgainThenTheFlowIsSilent);
  CPPUNIT_TEST(AnotherEndpointBreaksTheFlow);
  CPPUNIT_TEST(ALateDuplicateFromAnotherEndpointBreaksTheFlowToo);
  CPPUNIT_TEST(AnotherServiceBreaksTheFlow);
  CPPUNIT_TEST(AnswersToOthersAreCrossed);
  CPPUNIT_TEST(EndSoonEndsWithTheAnswer);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RequestsFollowAnswersUntilTheEnd() {
    DatagramFlow flow = MakeFlow();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, flow.OnTimer(At(0))->number);
    const AnswerVerdict verdict = flow.OnAnswer(Answer(1, "a"), At(3));
    CPPUNIT_ASSERT(verdict.kind == AnswerKind::kAnswer);
    CPPUNIT_ASSERT(verdict.latency == milliseconds(3));
    CPPUNIT_ASSERT(flow.WakeUpAt() == At(103));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, flow.OnTimer(At(103))->number);
    CPPUNIT_ASSERT(flow.OnAnswer(Answer(1, "a"), At(104)).kind == AnswerKind::kDuplicate);
    flow.OnAnswer(Answer(2, "a"), At(990));
    CPPUNIT_ASSERT(flow.WakeUpAt() == At(1000));
    CPPUNIT_ASSERT(!flow.OnTimer(At(1000)));
    CPPUNIT_ASSERT(flow.HasEnded() && !flow.Broken());
  }

  void AnUnansweredRequestIsSentAgainThenTheFlowIsSilent() {
    DatagramFlow flow = MakeFlow();
    for (int attempt = 0; attempt < 3; ++attempt) {
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, flow.OnTimer(At(200 * attempt))->number);
    }
    CPPUNIT_ASSERT(!flow.OnTimer(At(600)));
    CPPUNIT_ASSERT(flow.Broken() == FlowBreak::kSilent);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, flow.Retransmissions());
  }

  void AnotherEndpointBreaksTheFlow() {
    DatagramFlow flow = MakeFlow();
    flow.OnTimer(At(0));
    flow.OnAnswer(Answer(1, "a"), At(1));
    flow.OnTimer(At(101));
    CPPUNIT_ASSERT(flow.OnAnswer(Answer(2, "b"), At(102)).kind == AnswerKind::kBreaking);
    CPPUNIT_ASSERT(flow.Broken() == FlowBreak::kEndpointChanged);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), flow.OtherEndpoint());
  }

  void ALateDuplicateFromAnotherEndpointBreaksTheFlowToo() {
    DatagramFlow flow = MakeFlow();
    flow.OnTimer(At(0));
    flow.OnAnswer(Answer(1, "a"), At(1));
    flow.OnAnswer(Answer(1, "b"), At(2));
    CPPUNIT_ASSERT(flow.Broken() == FlowBreak::kEndpointChanged);
  }

  void AnotherServiceBreaksTheFlow() {
    DatagramFlow flow = MakeFlow();
    flow.OnTimer(At(0));
    flow.OnAnswer(Answer(1, "a", "drawings"), At(1));
    CPPUNIT_ASSERT(flow.Broken() == FlowBreak::kWrongService);
  }

  void AnswersToOthersAreCrossed() {
    DatagramFlow flow = MakeFlow();
    flow.OnTimer(At(0));
    CPPUNIT_ASSERT(flow.OnAnswer(Answer(2, "a"), At(1)).kind == AnswerKind::kCrossed);
    standins::EchoAnswer foreign = Answer(1, "a");
    foreign.request.flow = kNumber + 1;
    CPPUNIT_ASSERT(flow.OnAnswer(foreign, At(1)).kind == AnswerKind::kCrossed);
    CPPUNIT_ASSERT(!flow.HasEnded());
    CPPUNIT_ASSERT(flow.OnAnswer(Answer(1, "a"), At(2)).kind == AnswerKind::kAnswer);
  }

  void EndSoonEndsWithTheAnswer() {
    DatagramFlow flow = MakeFlow();
    flow.OnTimer(At(0));
    flow.EndSoon(At(1));
    CPPUNIT_ASSERT(flow.WakeUpAt() == At(200));
    flow.OnAnswer(Answer(1, "a"), At(2));
    CPPUNIT_ASSERT(flow.WakeUpAt() == At(2));
    CPPUNIT_ASSERT(!flow.OnTimer(At(2)));
    CPPUNIT_ASSERT(flow.HasEnded() && !flow.Broken());
  }

 private:
  static base::TimePoint At(int after_ms) { return base::TimePoint(milliseconds(after_ms)); }

  static DatagramFlow MakeFlow() {
    constexpr std::uint32_t kAttempts = 3;
    return {kNumber, "stock", {milliseconds(100), milliseconds(200), kAttempts}, At(1000)};
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DatagramFlowTest);

}  // namespace
}  // namespace gaugevalve::load
