#include "used_ports.h"

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <string>

#include "gaugevalve/base/finding.h"

namespace gaugevalve::load {
namespace {

class UsedPortsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UsedPortsTest);
  CPPUNIT_TEST(PortsAreReadAsWritten);
  CPPUNIT_TEST(TheFirstRunFindsNone);
  CPPUNIT_TEST(FaultsHaveTheirLine);
  CPPUNIT_TEST_SUITE_END();

 public:
  void tearDown() override { std::remove(m_path.c_str()); }

  void PortsAreReadAsWritten() {
    const std::set<std::uint16_t> ports = {1, 40'000, 65'535};
    WriteUsedPorts(m_path, ports);
    CPPUNIT_ASSERT(ports == ReadUsedPorts(m_path));
  }

  void TheFirstRunFindsNone() {
    CPPUNIT_ASSERT(ReadUsedPorts("").empty());
    CPPUNIT_ASSERT(ReadUsedPorts(m_path).empty());
  }

  void FaultsHaveTheirLine() {
    std::ofstream(m_path) << "40000\n65536\nport\n";
    try {
      ReadUsedPorts(m_path);
      CPPUNIT_FAIL("the file has faults");
    } catch (const base::FindingsError& error) {
      const std::string text = base::FormatFindings(error.findings());
      CPPUNIT_ASSERT(text.find(":2:1: '65536' is not a port") != std::string::npos);
      CPPUNIT_ASSERT(text.find(":3:1: 'port' is not a port") != std::string::npos);
    }
  }

 private:
  std::string m_path = "used-ports-test-" + std::to_string(getpid());
};

CPPUNIT_TEST_SUITE_REGISTRATION(UsedPortsTest);

}  // namespace
}  // namespace gaugevalve::load
