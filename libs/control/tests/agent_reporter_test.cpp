#include "gaugevalve/control/agent_reporter.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gaugevalve::control {
namespace {

class AgentReporterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AgentReporterTest);
  CPPUNIT_TEST(ReportsAtABoundedRate);
  CPPUNIT_TEST(OnlyAnAnswerForAsNewATableConfirms);
  CPPUNIT_TEST(AnAnswerThatOvertookItsTableConfirmsWhenTheTableComes);
  CPPUNIT_TEST(ATableThatChangesWithEachReportStaysConfirmed);
  CPPUNIT_TEST(AnotherPlannerAndOneThatAsksGetWholeReports);
  CPPUNIT_TEST(MessagesReadBack);
  CPPUNIT_TEST_SUITE_END();

  static base::TimePoint At(int milliseconds) {
    return base::TimePoint{} + std::chrono::milliseconds(milliseconds);
  }

  void ReportsAtABoundedRate() {
    AgentReporter reporter({});
    CPPUNIT_ASSERT(!reporter.Tick(At(0)).has_value());  // nothing measured yet
    routing::AgentReport report;
    report.open_flows = 100;
    int sent = 0;
    for (int time = 0; time < 10'000; time += 10) {
      reporter.Update(report);
      sent += reporter.Tick(At(time)).has_value() ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(10, sent);
    report.open_flows = 200;
    reporter.Update(report);
    CPPUNIT_ASSERT(reporter.Tick(At(10'010)).has_value());  // much has changed
    report.open_flows = 300;
    reporter.Update(report);
    CPPUNIT_ASSERT(!reporter.Tick(At(10'020)).has_value());
    CPPUNIT_ASSERT(reporter.Tick(At(10'210)).has_value());
  }

  void OnlyAnAnswerForAsNewATableConfirms() {
    AgentReporter reporter({});
    reporter.Update({});
    const std::uint64_t first = reporter.Tick(At(1000))->sequence;
    reporter.HandleAnswer({first, {2, 1, 5}}, {2, 1, 4});
    CPPUNIT_ASSERT(reporter.ConfirmedAt() == base::TimePoint{});  // the planner has a newer one
    reporter.HandleAnswer({first + 7, {2, 1, 4}}, {2, 1, 4});
    CPPUNIT_ASSERT(reporter.ConfirmedAt() == base::TimePoint{});  // no such report
    reporter.HandleAnswer({first, {2, 1, 4}}, {2, 1, 4});
    CPPUNIT_ASSERT(reporter.ConfirmedAt() == At(1000));  // when it was sent, not when answered
  }

  void AnAnswerThatOvertookItsTableConfirmsWhenTheTableComes() {
    AgentReporter reporter({});
    reporter.Update({});
    const std::uint64_t first = reporter.Tick(At(1000))->sequence;
    reporter.HandleAnswer({first, {2, 1, 5}}, {2, 1, 4});
    reporter.OnTableChanged({2, 1, 4});
    CPPUNIT_ASSERT(reporter.ConfirmedAt() == base::TimePoint{});
    reporter.OnTableChanged({2, 1, 6});
    CPPUNIT_ASSERT(reporter.ConfirmedAt() == At(1000));
  }

  // The planner's table is always one step ahead of the agent's, as while many endpoints drain.
  void ATableThatChangesWithEachReportStaysConfirmed() {
    constexpr int kIntervalMilliseconds = 200;
    AgentReporter reporter({});
    routing::AgentReport report;
    for (std::uint32_t step = 1; step <= 100; ++step) {
      const base::TimePoint now = At(static_cast<int>(step) * kIntervalMilliseconds);
      reporter.OnTableChanged({2, 1, step});
      report.table_version = {2, 1, step};
      reporter.Update(report);
      const auto numbered = reporter.Tick(now);
      CPPUNIT_ASSERT(numbered.has_value());
      reporter.HandleAnswer({numbered->sequence, {2, 1, step + 1}}, {2, 1, step});
      CPPUNIT_ASSERT(step == 1 || reporter.ConfirmedAt() >=
                                      now - std::chrono::milliseconds(2 * kIntervalMilliseconds));
    }
  }

  void AnotherPlannerAndOneThatAsksGetWholeReports() {
    AgentReporter reporter({});
    routing::AgentReport report;
    report.flows_in_buckets = {30, 0};
    reporter.SetPlanner(base::NodeId(1));
    reporter.Update(report);
    const NumberedReport first = *reporter.Tick(At(0));
    reporter.HandleAnswer({first.sequence, {}}, {});
    const NumberedReport second = *reporter.Tick(At(1000));
    CPPUNIT_ASSERT_EQUAL(first.sequence, second.report.flows_base);
    reporter.SetPlanner(base::NodeId(2));
    const NumberedReport third = *reporter.Tick(At(2000));
    CPPUNIT_ASSERT(third.report.flows_in_buckets == report.flows_in_buckets);
    reporter.HandleAnswer({third.sequence, {}}, {});
    const NumberedReport fourth = *reporter.Tick(At(3000));
    CPPUNIT_ASSERT_EQUAL(third.sequence, fourth.report.flows_base);
    reporter.HandleAnswer({fourth.sequence, {}, routing::FlowCountsOutcome::kNeedsFullReport}, {});
    const std::optional<NumberedReport> fifth = reporter.Tick(At(3200));  // and soon
    CPPUNIT_ASSERT(fifth->report.flows_in_buckets == report.flows_in_buckets);
  }

  void MessagesReadBack() {
    NumberedReport report;
    report.sequence = 9;
    report.report.service = base::ServiceId(4);
    report.report.node = base::NodeId(5);
    report.report.flows_in_buckets = {0, 3, 0, 1};
    const ControlMessage decoded = DecodeControlMessage(EncodeReport(report));
    const auto& read = std::get<NumberedReport>(decoded);
    CPPUNIT_ASSERT_EQUAL(report.sequence, read.sequence);
    CPPUNIT_ASSERT(report.report.flows_in_buckets == read.report.flows_in_buckets);
    report.report.flows_in_buckets.clear();
    report.report.flows_base = 8;
    report.report.flow_changes = {{base::BucketIndex(1), 0}, {base::BucketIndex(7), 5}};
    const ControlMessage shortened = DecodeControlMessage(EncodeReport(report));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, std::get<NumberedReport>(shortened).report.sequence);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, std::get<NumberedReport>(shortened).report.flows_base);
    CPPUNIT_ASSERT(std::get<NumberedReport>(shortened).report.flow_changes ==
                   report.report.flow_changes);
    for (const auto flows :
         {routing::FlowCountsOutcome::kAccepted, routing::FlowCountsOutcome::kRefused,
          routing::FlowCountsOutcome::kNeedsFullReport}) {
      const ControlMessage reread = DecodeControlMessage(EncodeAnswer({9, {1, 2, 3}, flows}));
      CPPUNIT_ASSERT(std::get<ReportAnswer>(reread).flows == flows);
    }
    const ControlMessage answer = DecodeControlMessage(EncodeAnswer({9, {1, 2, 3}}));
    CPPUNIT_ASSERT(
        (std::get<ReportAnswer>(answer).table_version == routing::TableVersion{1, 2, 3}));
    CPPUNIT_ASSERT(std::holds_alternative<std::monostate>(DecodeControlMessage("\xff")));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentReporterTest);

}  // namespace
}  // namespace gaugevalve::control
