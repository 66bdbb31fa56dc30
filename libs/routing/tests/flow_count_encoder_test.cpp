#include "gaugevalve/routing/flow_count_encoder.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gaugevalve::routing {
namespace {

class FlowCountEncoderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FlowCountEncoderTest);
  CPPUNIT_TEST(NamesWhatChangedSinceTheLastAnswer);
  CPPUNIT_TEST(RepeatsWhatIsUnanswered);
  CPPUNIT_TEST(WholeWhenWantedAndAfterManyLostAnswers);
  CPPUNIT_TEST_SUITE_END();

  static AgentReport Shortened(FlowCountEncoder& digest, std::uint64_t sequence,
                               std::vector<std::uint32_t> flows) {
    AgentReport report;
    report.sequence = sequence;
    report.flows_in_buckets = std::move(flows);
    digest.EncodeChanges(report);
    return report;
  }

  void NamesWhatChangedSinceTheLastAnswer() {
    FlowCountEncoder digest;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Shortened(digest, 1, {30, 0, 4}).flows_base);
    digest.HandleAnswer(1, FlowCountsOutcome::kAccepted);
    const AgentReport quiet = Shortened(digest, 2, {33, 0, 5});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, quiet.flows_base);
    CPPUNIT_ASSERT(quiet.flow_changes.empty() && quiet.flows_in_buckets.empty());
    const AgentReport changed = Shortened(digest, 3, {60, 1, 0});
    const std::vector<BucketFlows> all = {
        {base::BucketIndex(0), 60}, {base::BucketIndex(1), 1}, {base::BucketIndex(2), 0}};
    CPPUNIT_ASSERT(changed.flow_changes == all);
  }

  // The planner may have taken the second report or not: the third is right for both.
  void RepeatsWhatIsUnanswered() {
    FlowCountEncoder digest;
    Shortened(digest, 1, {30, 0});
    digest.HandleAnswer(1, FlowCountsOutcome::kAccepted);
    Shortened(digest, 2, {30, 7});
    const std::vector<BucketFlows> back = {{base::BucketIndex(1), 0}};
    CPPUNIT_ASSERT(Shortened(digest, 3, {30, 0}).flow_changes == back);
    digest.HandleAnswer(3, FlowCountsOutcome::kAccepted);
    CPPUNIT_ASSERT(Shortened(digest, 4, {30, 0}).flow_changes.empty());
  }

  void WholeWhenWantedAndAfterManyLostAnswers() {
    FlowCountEncoder digest;
    Shortened(digest, 1, {30});
    digest.HandleAnswer(1, FlowCountsOutcome::kAccepted);
    Shortened(digest, 2, {30});
    digest.HandleAnswer(2, FlowCountsOutcome::kRefused);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Shortened(digest, 3, {30}).flows_base);
    digest.HandleAnswer(3, FlowCountsOutcome::kNeedsFullReport);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Shortened(digest, 4, {30}).flows_in_buckets.size());
    digest.HandleAnswer(4, FlowCountsOutcome::kAccepted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, Shortened(digest, 11, {30}).flows_base);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Shortened(digest, 12, {30}).flows_base);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowCountEncoderTest);

}  // namespace
}  // namespace gaugevalve::routing
