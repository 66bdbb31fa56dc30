#include "gaugevalve/requests/request_headers.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace gaugevalve::requests {
namespace {

using std::chrono::milliseconds;

class RequestHeadersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestHeadersTest);
  CPPUNIT_TEST(TimeoutUnitsAreRead);
  CPPUNIT_TEST(MalformedTimeoutsAreRefused);
  CPPUNIT_TEST(UrgencyFallsBackToTheDefault);
  CPPUNIT_TEST(TimeOfAVersionSevenKeyIsRead);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TimeoutUnitsAreRead() {
    CPPUNIT_ASSERT(ParseTimeout("1S") == milliseconds(1000));
    CPPUNIT_ASSERT(ParseTimeout("250m") == milliseconds(250));
    CPPUNIT_ASSERT(ParseTimeout("99999999n") == base::Duration(99'999));
    CPPUNIT_ASSERT(ParseTimeout("2H") == milliseconds(7'200'000));
    CPPUNIT_ASSERT_EQUAL(std::string("1500m"), FormatTimeout(base::Duration(1'500'900)));
  }

  void MalformedTimeoutsAreRefused() {
    for (const char* text : {"", "S", "5", "-1S", "1.5S", "123456789S", "5s", " 5S", "5S "}) {
      CPPUNIT_ASSERT_MESSAGE(text, !ParseTimeout(text).has_value());
    }
  }

  void UrgencyFallsBackToTheDefault() {
    CPPUNIT_ASSERT_EQUAL(0, int{ParseUrgency("u=0")});
    CPPUNIT_ASSERT_EQUAL(5, int{ParseUrgency("i, u=5")});
    for (const char* text : {"", "u=", "u=8", "i", "xu=1"}) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, int{kDefaultUrgency}, int{ParseUrgency(text)});
    }
  }

  // Example from RFC 9562, appendix A.6: 2022-02-22 19:22:22 UTC.
  void TimeOfAVersionSevenKeyIsRead() {
    constexpr std::uint64_t kExample = 0x017F22E279B0;
    CPPUNIT_ASSERT(KeyCreationMilliseconds("017F22E2-79B0-7CC3-98C4-DC0C0C07398F") == kExample);
    CPPUNIT_ASSERT(KeyCreationMilliseconds("\"017f22e2-79b0-7cc3-98c4-dc0c0c07398f\"") == kExample);
    CPPUNIT_ASSERT(!KeyCreationMilliseconds("017F22E2-79B0-4CC3-98C4-DC0C0C07398F").has_value());
    CPPUNIT_ASSERT(!KeyCreationMilliseconds("order-17").has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestHeadersTest);

}  // namespace
}  // namespace gaugevalve::requests
