#include "gaugevalve/routing/flow_digest.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gaugevalve::routing {
namespace {

class FlowDigestTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FlowDigestTest);
  CPPUNIT_TEST(ListsChangesSinceTheLastAnswer);
  CPPUNIT_TEST(RepeatsUnansweredChanges);
  CPPUNIT_TEST(FullReportOnRequestAndAfterManyLostAnswers);
  CPPUNIT_TEST_SUITE_END();

  static AgentReport Shortened(FlowDigest& digest, std::uint64_t sequence,
                               std::vector<std::uint32_t> flows) {
    AgentReport report;
    report.sequence = sequence;
    report.flows_in_buckets = std::move(flows);
    digest.Shorten(report);
    return report;
  }

  void ListsChangesSinceTheLastAnswer() {
    FlowDigest digest;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Shortened(digest, 1, {30, 0, 4}).flows_base);
    digest.TakeAnswer(1, FlowsOutcome::kTaken);
    const AgentReport quiet = Shortened(digest, 2, {33, 0, 5});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, quiet.flows_base);
    CPPUNIT_ASSERT(quiet.flow_changes.empty() && quiet.flows_in_buckets.empty());
    const AgentReport changed = Shortened(digest, 3, {60, 1, 0});
    const std::vector<BucketFlows> all = {
        {base::BucketIndex(0), 60}, {base::BucketIndex(1), 1}, {base::BucketIndex(2), 0}};
    CPPUNIT_ASSERT(changed.flow_changes == all);
  }

  // The planner may have taken the second report or not: the third is right for both.
  void RepeatsUnansweredChanges() {
    FlowDigest digest;
    Shortened(digest, 1, {30, 0});
    digest.TakeAnswer(1, FlowsOutcome::kTaken);
    Shortened(digest, 2, {30, 7});
    const std::vector<BucketFlows> back = {{base::BucketIndex(1), 0}};
    CPPUNIT_ASSERT(Shortened(digest, 3, {30, 0}).flow_changes == back);
    digest.TakeAnswer(3, FlowsOutcome::kTaken);
    CPPUNIT_ASSERT(Shortened(digest, 4, {30, 0}).flow_changes.empty());
  }

  void FullReportOnRequestAndAfterManyLostAnswers() {
    FlowDigest digest;
    Shortened(digest, 1, {30});
    digest.TakeAnswer(1, FlowsOutcome::kTaken);
    Shortened(digest, 2, {30});
    digest.TakeAnswer(2, FlowsOutcome::kRefused);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Shortened(digest, 3, {30}).flows_base);
    digest.TakeAnswer(3, FlowsOutcome::kNeedsWhole);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Shortened(digest, 4, {30}).flows_in_buckets.size());
    digest.TakeAnswer(4, FlowsOutcome::kTaken);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, Shortened(digest, 11, {30}).flows_base);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Shortened(digest, 12, {30}).flows_base);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowDigestTest);

}  // namespace
}  // namespace gaugevalve::routing
