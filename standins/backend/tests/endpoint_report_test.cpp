#include "endpoint_report.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

#include "service_time.h"

namespace gaugevalve::standins {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

base::TimePoint At(int after_s) { return base::TimePoint(seconds(after_s)); }

EndpointState Busy(std::size_t busy) {
  EndpointState state;
  state.slots = 7;
  state.busy = busy;
  return state;
}

class EndpointReportTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndpointReportTest);
  CPPUNIT_TEST(ShowsWhatTheFaultAsksFor);
  CPPUNIT_TEST(AFrozenReportStaysAsItWas);
  CPPUNIT_TEST(ColdEndpointsAreSlow);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ShowsWhatTheFaultAsksFor() {
    EndpointReport report;
    CPPUNIT_ASSERT(report.Show(ReportFault::kNone, {}, At(0)) == EndpointState{});
    for (int time = 1; time <= 5; ++time) {
      report.Record(Busy(time), ReportFault::kNone, At(time));
    }
    CPPUNIT_ASSERT(report.Show(ReportFault::kNone, {}, At(5)) == Busy(5));
    CPPUNIT_ASSERT(report.Show(ReportFault::kLag, seconds(2), At(5)) == Busy(3));
    CPPUNIT_ASSERT(report.Show(ReportFault::kLag, seconds(60), At(5)) == Busy(1));
    CPPUNIT_ASSERT(report.Show(ReportFault::kLie, {}, At(5)) == Busy(0));
  }

  void AFrozenReportStaysAsItWas() {
    EndpointReport report;
    report.Record(Busy(1), ReportFault::kNone, At(1));
    report.Record(Busy(2), ReportFault::kFreeze, At(2));
    CPPUNIT_ASSERT(report.Show(ReportFault::kFreeze, {}, At(2)) == Busy(1));
  }

  void ColdEndpointsAreSlow() {
    const ServiceTimeSettings settings{milliseconds(10), seconds(10), 500};
    EndpointFaults faults;
    CPPUNIT_ASSERT(ServiceTime(settings, faults, seconds(0)) == milliseconds(50));
    CPPUNIT_ASSERT(ServiceTime(settings, faults, seconds(5)) == milliseconds(30));
    CPPUNIT_ASSERT(ServiceTime(settings, faults, seconds(10)) == milliseconds(10));
    faults.slowdown_percent = 300;
    CPPUNIT_ASSERT(ServiceTime(settings, faults, seconds(60)) == milliseconds(30));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointReportTest);

}  // namespace
}  // namespace gaugevalve::standins
