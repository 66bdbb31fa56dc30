// Guards against requests answered "outcome unknown" (executor-lost) though the agent that runs
// them lives and sends all the time, because its messages find the send queue full.
#include <cppunit/extensions/HelperMacros.h>

#include "congestion_simulation.h"

namespace gaugevalve::proofs {
namespace {

class HandOverCongestionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HandOverCongestionTest);
  CPPUNIT_TEST(NoLivingExecutorIsLostWhenTheSendQueueIsFull);
  CPPUNIT_TEST(NoLivingExecutorIsLostWhenTheOriginsSendQueueIsFull);
  CPPUNIT_TEST(ACongestedLinkIsNotLoadedWithRepetitions);
  CPPUNIT_TEST(NoAnswerStandsStillForThePeerTimeout);
  CPPUNIT_TEST_SUITE_END();

  static CongestionResult Run(const CongestionScenario& scenario) {
    return CongestionSimulation(scenario, {}).Run();
  }

  static CongestionScenario WithRate(std::size_t messages_per_step) {
    CongestionScenario scenario;
    scenario.has_frame_queue = false;  // as when the failure was seen
    scenario.messages_to_origin = messages_per_step;
    scenario.messages_to_executor = messages_per_step;
    return scenario;
  }

  static void ExpectAllAnswered(const CongestionScenario& scenario) {
    const CongestionResult result = Run(scenario);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, result.lost);
    CPPUNIT_ASSERT_EQUAL(scenario.hand_overs, result.answered);
  }

 public:
  void NoLivingExecutorIsLostWhenTheSendQueueIsFull() {
    for (const std::size_t rate : {1, 2, 4, 8, 16, 32}) {
      ExpectAllAnswered(WithRate(rate));
    }
  }

  void NoLivingExecutorIsLostWhenTheOriginsSendQueueIsFull() {
    for (const std::size_t rate : {1, 2, 4}) {
      CongestionScenario scenario = WithRate(rate);
      scenario.body_frames = scenario.answer_frames;
      scenario.answer_frames = 1;
      ExpectAllAnswered(scenario);
    }
  }

  void ACongestedLinkIsNotLoadedWithRepetitions() {
    for (const std::size_t rate : {1, 2, 4}) {
      const CongestionScenario scenario = WithRate(rate);
      // Head, body and end of each answer, and the end of each request's body.
      const std::size_t needed = scenario.hand_overs * (scenario.answer_frames + 3);
      CPPUNIT_ASSERT(Run(scenario).passed_frames <= needed * 5 / 4);
    }
  }

  void NoAnswerStandsStillForThePeerTimeout() {
    for (const std::size_t rate : {1, 2, 4}) {
      CPPUNIT_ASSERT(Run(WithRate(rate)).longest_pause < requests::HandOverLimits().peer_timeout);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HandOverCongestionTest);

}  // namespace
}  // namespace gaugevalve::proofs
