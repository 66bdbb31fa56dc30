#include "run_report.h"

#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>

namespace gaugevalve::load {
namespace {

class RunReportTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RunReportTest);
  CPPUNIT_TEST(ImbalanceCountsEndpointsThatNeverAnswered);
  CPPUNIT_TEST(BrokenAndCrossedAreNotClean);
  CPPUNIT_TEST(BrokenFlowsAreDescribed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ImbalanceCountsEndpointsThatNeverAnswered() {
    ServiceReport service;
    CPPUNIT_ASSERT_EQUAL(0.0, service.FlowImbalance());
    service.endpoints["a"] = {10, 100};
    service.endpoints["b"] = {10, 300};
    CPPUNIT_ASSERT_EQUAL(1.0, service.FlowImbalance());
    CPPUNIT_ASSERT_EQUAL(1.5, service.RequestImbalance());
    service.expected_endpoints = 4;
    CPPUNIT_ASSERT_EQUAL(2.0, service.FlowImbalance());
  }

  void BrokenAndCrossedAreNotClean() {
    RunReport report;
    ServiceReport& service = report.services["stock"];
    CPPUNIT_ASSERT_MESSAGE("nothing was answered", !report.IsClean());
    service.answered = 5;
    CPPUNIT_ASSERT(report.IsClean());
    service.crossed = 1;
    CPPUNIT_ASSERT(!report.IsClean());
    service.crossed = 0;
    service.flows_broken[FlowBreak::kSilent] = 1;
    CPPUNIT_ASSERT(!report.IsClean());
  }

  void BrokenFlowsAreDescribed() {
    RunReport report;
    DatagramFlow flow(7, "stock", {base::Duration(1), base::Duration(1), 1}, base::TimePoint());
    flow.OnTimer(base::TimePoint());
    flow.OnTimer(base::TimePoint());
    report.services["stock"].RecordEnd(flow);
    const nlohmann::json json = report.ToJson()["services"]["stock"];
    CPPUNIT_ASSERT_EQUAL(1, json["flows_broken"].get<int>());
    CPPUNIT_ASSERT_EQUAL(1, json["unanswered"].get<int>());
    CPPUNIT_ASSERT_EQUAL(std::string("silent"),
                         json["broken_flows"][0]["cause"].get<std::string>());
    CPPUNIT_ASSERT(FormatReport(report).find("broken by silent: 1") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunReportTest);

}  // namespace
}  // namespace gaugevalve::load
