#include "gaugevalve/machines/machine_list.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gaugevalve::machines {
namespace {

class MachineListTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MachineListTest);
  CPPUNIT_TEST(ReadsAList);
  CPPUNIT_TEST(KeepsTheMachinesWithoutFaults);
  CPPUNIT_TEST(RefusesWhatIsNoList);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsAList() {
    const ParsedMachineList parsed = ParseMachineList(
        R"({"version":7,"machines":[{"name":"a1","role":"agent","region":"r","zone":"z",)"
        R"("control_address":"10.0.0.1:7000","state":"leaving"}]})");
    const MachineList expected{
        7,
        {{"a1", MachineRole::kAgent, "r", "z", *base::SocketAddress::Parse("10.0.0.1:7000"),
          MachineState::kLeaving}}};
    CPPUNIT_ASSERT(parsed.findings.empty());
    CPPUNIT_ASSERT(parsed.list == expected);
    CPPUNIT_ASSERT(ParseMachineList(FormatMachineList(expected)).list == expected);
  }

  void KeepsTheMachinesWithoutFaults() {
    const std::string good = R"({"name":"b","role":"balancer","region":"r","zone":"z",)"
                             R"("control_address":"10.0.0.1:1","state":"live"})";
    const ParsedMachineList parsed = ParseMachineList(
        R"({"version":1,"machines":[{"name":"x","role":"router","region":"r","zone":"z",)"
        R"("control_address":"host:1","state":"live"},)" +
        good + "," + good + "]}");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, parsed.list.machines.size());
    CPPUNIT_ASSERT_EQUAL(
        std::string("machine list: machines[0].role: must be balancer or agent\n"
                    "machine list: machines[0].control_address: must be an IP address with a port\n"
                    "machine list: machines[2].name: is listed more than once\n"),
        base::FormatFindings(parsed.findings));
  }

  void RefusesWhatIsNoList() {
    for (const char* text :
         {"", "[]", "{}", R"({"version":-1,"machines":[]})", R"({"version":1,"machines":{}})"}) {
      CPPUNIT_ASSERT_THROW(ParseMachineList(text), base::FindingsError);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MachineListTest);

}  // namespace
}  // namespace gaugevalve::machines
