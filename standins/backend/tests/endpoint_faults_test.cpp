#include "endpoint_faults.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

#include "gaugevalve/base/finding.h"

namespace gaugevalve::standins {
namespace {

class EndpointFaultsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndpointFaultsTest);
  CPPUNIT_TEST(FaultsReadBack);
  CPPUNIT_TEST(AbsentFieldsKeepTheirValue);
  CPPUNIT_TEST(EveryWrongFieldIsReported);
  CPPUNIT_TEST(OtherDocumentsAreRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FaultsReadBack() {
    EndpointFaults faults;
    faults.answer_delay = std::chrono::milliseconds(250);
    faults.cut_fraction = 0.25;
    faults.hang = true;
    faults.load_report = ReportFault::kLie;
    faults.report_lag = std::chrono::seconds(3);
    CPPUNIT_ASSERT(FaultsFromJson({}, FaultsToJson(faults)) == faults);
  }

  void AbsentFieldsKeepTheirValue() {
    EndpointFaults faults;
    faults.hang = true;
    const EndpointFaults changed = FaultsFromJson(faults, R"({"cut_fraction": 0.5})");
    CPPUNIT_ASSERT(changed.hang);
    CPPUNIT_ASSERT_EQUAL(0.5, changed.cut_fraction);
  }

  void EveryWrongFieldIsReported() {
    try {
      FaultsFromJson({}, R"({"hang": 1, "cut_fraction": 2, "load_report": "x", "hnag": true})");
      CPPUNIT_FAIL("wrong fields were taken");
    } catch (const base::FindingsError& error) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{4}, error.findings().size());
      CPPUNIT_ASSERT_EQUAL(std::string("faults: cut_fraction: must be a number from 0 to 1"),
                           error.findings()[0].ToString());
    }
  }

  void OtherDocumentsAreRefused() {
    for (const char* text : {"", "[]", "3", "{"}) {
      CPPUNIT_ASSERT_THROW(FaultsFromJson({}, text), base::FindingsError);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointFaultsTest);

}  // namespace
}  // namespace gaugevalve::standins
