#include "gaugevalve/connection_id/key_set.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gaugevalve::connection_id {
namespace {

class KeySetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KeySetTest);
  CPPUNIT_TEST(TheFirstKeyIsInUse);
  CPPUNIT_TEST(EveryFaultIsReportedAndNoKeyQuoted);
  CPPUNIT_TEST(AnEmptyTextIsAFault);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TheFirstKeyIsInUse() {
    base::Findings findings;
    const KeySet keys = KeySet::Parse(
        "4:00112233445566778899aabbccddeeff,2:ffeeddccbbaa99887766554433221100", {}, findings);
    CPPUNIT_ASSERT(findings.empty());
    CPPUNIT_ASSERT(keys.ActiveSlot() == std::size_t{4});
    CPPUNIT_ASSERT_EQUAL(std::uint8_t{0xff}, keys.Find(4)->back());
    CPPUNIT_ASSERT_EQUAL(std::uint8_t{0xff}, keys.Find(2)->front());
    CPPUNIT_ASSERT(keys.Find(0) == nullptr);
  }

  void EveryFaultIsReportedAndNoKeyQuoted() {
    base::Findings findings;
    const base::SourcePlace place{"node.yaml", 3, 5, "connection_id_keys"};
    KeySet::Parse(
        "7:00112233445566778899aabbccddeeff,1:abc,nonsense,"
        "2:00112233445566778899aabbccddeeff,2:00112233445566778899aabbccddeeff",
        place, findings);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, findings.size());
    const std::string text = base::FormatFindings(findings);
    CPPUNIT_ASSERT(text.find("0011") == std::string::npos);
    CPPUNIT_ASSERT(text.find("node.yaml:3:5") != std::string::npos);
  }

  void AnEmptyTextIsAFault() {
    base::Findings findings;
    KeySet::Parse("", {}, findings);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, findings.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeySetTest);

}  // namespace
}  // namespace gaugevalve::connection_id
