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
        "# in use\n4:00112233445566778899aabbccddeeff\r\n\n2:ffeeddccbbaa99887766554433221100\n",
        "keys", findings);
    CPPUNIT_ASSERT(findings.empty());
    CPPUNIT_ASSERT(keys.ActiveSlot() == std::size_t{4});
    CPPUNIT_ASSERT_EQUAL(std::uint8_t{0xff}, keys.Find(4)->back());
    CPPUNIT_ASSERT_EQUAL(std::uint8_t{0xff}, keys.Find(2)->front());
    CPPUNIT_ASSERT(keys.Find(0) == nullptr);
  }

  void EveryFaultIsReportedAndNoKeyQuoted() {
    base::Findings findings;
    KeySet::Parse(
        "7:00112233445566778899aabbccddeeff\n1:abc\nnonsense\n"
        "2:00112233445566778899aabbccddeeff\n2:00112233445566778899aabbccddeeff",
        "keys", findings);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, findings.size());
    const std::string text = base::FormatFindings(findings);
    CPPUNIT_ASSERT(text.find("0011") == std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::string("must be SLOT:KEY"), findings.at(2).message);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, findings.at(2).place.line);
  }

  void AnEmptyTextIsAFault() {
    base::Findings findings;
    KeySet::Parse("# nothing\n", "keys", findings);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, findings.size());
    KeySet::Load("no/such/file", findings);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, findings.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeySetTest);

}  // namespace
}  // namespace gaugevalve::connection_id
