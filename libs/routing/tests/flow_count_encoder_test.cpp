#include "gaugevalve/routing/flow_count_encoder.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gaugevalve::routing {
namespace {

class FlowCountEncoderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FlowCountEncoderTest);
  CPPUNIT_TEST(ListsChangesSinceTheLastAnswer);
  CPPUNIT_TEST(RepeatsUnansweredChanges);
  CPPUNIT_TEST(FullReportOnRequestAndAfterManyLostAnswers);
  CPPUNIT_TEST_SUITE_END();

  static AgentReport Encoded(FlowCountEncoder& encoder, std::uint64_t sequence,
                             std::vector<std::uint32_t> flows) {
    AgentReport report;
    report.sequence = sequence;
    report.flows_in_buckets = std::move(flows);
    encoder.EncodeChanges(report);
    return report;
  }

  void ListsChangesSinceTheLastAnswer() {
    FlowCountEncoder encoder;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Encoded(encoder, 1, {30, 0, 4}).flows_base);
    encoder.HandleAnswer(1, FlowCountsOutcome::kAccepted);
    const AgentReport quiet = Encoded(encoder, 2, {33, 0, 5});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, quiet.flows_base);
    CPPUNIT_ASSERT(quiet.flow_changes.empty() && quiet.flows_in_buckets.empty());
    const AgentReport changed = Encoded(encoder, 3, {60, 1, 0});
    const std::vector<BucketFlows> all = {
        {base::BucketIndex(0), 60}, {base::BucketIndex(1), 1}, {base::BucketIndex(2), 0}};
    CPPUNIT_ASSERT(changed.flow_changes == all);
  }

  // The planner may have accepted the second report or not. The third must be right in both cases.
  void RepeatsUnansweredChanges() {
    FlowCountEncoder encoder;
    Encoded(encoder, 1, {30, 0});
    encoder.HandleAnswer(1, FlowCountsOutcome::kAccepted);
    Encoded(encoder, 2, {30, 7});
    const std::vector<BucketFlows> back = {{base::BucketIndex(1), 0}};
    CPPUNIT_ASSERT(Encoded(encoder, 3, {30, 0}).flow_changes == back);
    encoder.HandleAnswer(3, FlowCountsOutcome::kAccepted);
    CPPUNIT_ASSERT(Encoded(encoder, 4, {30, 0}).flow_changes.empty());
  }

  void FullReportOnRequestAndAfterManyLostAnswers() {
    FlowCountEncoder encoder;
    Encoded(encoder, 1, {30});
    encoder.HandleAnswer(1, FlowCountsOutcome::kAccepted);
    Encoded(encoder, 2, {30});
    encoder.HandleAnswer(2, FlowCountsOutcome::kRefused);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Encoded(encoder, 3, {30}).flows_base);
    encoder.HandleAnswer(3, FlowCountsOutcome::kNeedsFullReport);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Encoded(encoder, 4, {30}).flows_in_buckets.size());
    encoder.HandleAnswer(4, FlowCountsOutcome::kAccepted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, Encoded(encoder, 11, {30}).flows_base);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Encoded(encoder, 12, {30}).flows_base);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowCountEncoderTest);

}  // namespace
}  // namespace gaugevalve::routing
