#include "scenario_reader.h"

#include <cppunit/extensions/HelperMacros.h>

#include "gaugevalve/base/finding.h"

namespace gaugevalve::lab {
namespace {

constexpr const char* kMinimal = R"(name: small
zones: [north]
balancers: [north]
services:
  - name: one
    endpoints: [north]
)";

class ScenarioReaderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ScenarioReaderTest);
  CPPUNIT_TEST(ReadsAMinimalScenario);
  CPPUNIT_TEST(ReportsAllFindingsWithTheirPlace);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsAMinimalScenario() {
    const Scenario scenario = ParseScenario(kMinimal, "small.yaml");
    CPPUNIT_ASSERT_EQUAL(std::string("small"), scenario.name);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, scenario.services.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, scenario.services[0].endpoint_zones.size());
  }

  void ReportsAllFindingsWithTheirPlace() {
    const std::string text = std::string(kMinimal) +
                             "duration: soon\n"
                             "balanciers: [north]\n"
                             "faults:\n"
                             "  - {at: 5s, kind: explode}\n";
    try {
      ParseScenario(text, "bad.yaml");
      CPPUNIT_FAIL("must not be accepted");
    } catch (const base::FindingsError& error) {
      const std::string findings = base::FormatFindings(error.findings());
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, error.findings().size());
      CPPUNIT_ASSERT(findings.find("bad.yaml:7") != std::string::npos);
      CPPUNIT_ASSERT(findings.find("balanciers") != std::string::npos);
      CPPUNIT_ASSERT(findings.find("explode") != std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ScenarioReaderTest);

}  // namespace
}  // namespace gaugevalve::lab
