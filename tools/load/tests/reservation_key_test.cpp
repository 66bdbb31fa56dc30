#include "reservation_key.h"

#include <cppunit/extensions/HelperMacros.h>

#include "gaugevalve/requests/request_headers.h"

namespace gaugevalve::load {
namespace {

class ReservationKeyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReservationKeyTest);
  CPPUNIT_TEST(TheServiceReadsItsTime);
  CPPUNIT_TEST(NoTwoAreAlike);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TheServiceReadsItsTime() {
    constexpr std::uint64_t kTime = 0x017F22E279B0;
    const std::string key = MakeReservationKey(kTime, "stock", 0xABC, 1);
    CPPUNIT_ASSERT(requests::KeyCreationMilliseconds(key) == kTime);
    CPPUNIT_ASSERT_EQUAL(std::string("000000000abc"), key.substr(key.rfind('-') + 1));
  }

  void NoTwoAreAlike() {
    const std::string key = MakeReservationKey(1, "stock", 1, 1);
    CPPUNIT_ASSERT(key != MakeReservationKey(1, "stock", 1, 2));
    CPPUNIT_ASSERT(key != MakeReservationKey(1, "stock", 2, 1));
    CPPUNIT_ASSERT(key != MakeReservationKey(1, "drawings", 1, 1));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReservationKeyTest);

}  // namespace
}  // namespace gaugevalve::load
