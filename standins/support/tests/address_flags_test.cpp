#include "gaugevalve/standins/address_flags.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gaugevalve::standins {
namespace {

class AddressFlagsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AddressFlagsTest);
  CPPUNIT_TEST(ListsAreRead);
  CPPUNIT_TEST(EveryMalformedPartIsAFinding);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ListsAreRead() {
    base::Findings findings;
    const auto named = ReadNamedAddresses("--x", "a=127.0.0.1:1,b=[::1]:2", findings);
    CPPUNIT_ASSERT(findings.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, named.size());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), named[1].name);
    CPPUNIT_ASSERT_EQUAL(std::string("[::1]:2"), named[1].address.ToString());
    CPPUNIT_ASSERT(ReadAddresses("--x", "", findings).empty());
  }

  void EveryMalformedPartIsAFinding() {
    base::Findings findings;
    ReadNamedAddresses("--x", "a=127.0.0.1:1,127.0.0.1:2,=127.0.0.1:3,c=here", findings);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, findings.size());
    CPPUNIT_ASSERT_EQUAL(std::string("--x: 'here' is not an IP:port"), findings[2].ToString());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AddressFlagsTest);

}  // namespace
}  // namespace gaugevalve::standins
