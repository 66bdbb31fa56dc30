#include "gaugevalve/flow/source_limiter.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gaugevalve::flow {
namespace {

using std::chrono::milliseconds;

base::SocketAddress Source(std::uint32_t number, std::uint16_t port = 1) {
  return base::SocketAddress::Ipv4(0x0a000000 + number, port);
}

class SourceLimiterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SourceLimiterTest);
  CPPUNIT_TEST(SourceGetsItsBurstThenItsRate);
  CPPUNIT_TEST(OtherSourcesAreNotCharged);
  CPPUNIT_TEST(SourcesThatShareCellsAreChargedTogether);
  CPPUNIT_TEST(RateOfZeroAllowsAll);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Returns how many of `attempts` new flows, each from a different port, are allowed at `now`.
  static int CountAllowed(SourceLimiter& limiter, std::uint32_t source, int attempts,
                          base::TimePoint now) {
    int allowed = 0;
    for (int attempt = 0; attempt < attempts; ++attempt) {
      allowed += limiter.Allow(Source(source, static_cast<std::uint16_t>(attempt)), now) ? 1 : 0;
    }
    return allowed;
  }

  void SourceGetsItsBurstThenItsRate() {
    SourceLimiter limiter({.rate = 10, .burst = 4});
    base::TimePoint now{};
    CPPUNIT_ASSERT_EQUAL(5, CountAllowed(limiter, 1, 100, now));
    now += milliseconds(300);
    CPPUNIT_ASSERT_EQUAL(3, CountAllowed(limiter, 1, 100, now));
  }

  void OtherSourcesAreNotCharged() {
    SourceLimiter limiter({.rate = 10, .burst = 4});
    CountAllowed(limiter, 1, 100, {});
    int allowed = 0;
    for (std::uint32_t source = 2; source < 502; ++source) {
      allowed += CountAllowed(limiter, source, 1, {});
    }
    CPPUNIT_ASSERT_EQUAL(500, allowed);
  }

  void SourcesThatShareCellsAreChargedTogether() {
    SourceLimiter limiter({.rate = 10, .burst = 4, .cells = 1});
    CPPUNIT_ASSERT_EQUAL(5, CountAllowed(limiter, 1, 10, {}));
    CPPUNIT_ASSERT_EQUAL(0, CountAllowed(limiter, 2, 10, {}));
  }

  void RateOfZeroAllowsAll() {
    SourceLimiter limiter({.rate = 10, .burst = 0});
    limiter.SetRate(0);
    CPPUNIT_ASSERT_EQUAL(1000, CountAllowed(limiter, 1, 1000, {}));
    limiter.SetRate(1);
    CPPUNIT_ASSERT_EQUAL(1, CountAllowed(limiter, 1, 1000, {}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SourceLimiterTest);

}  // namespace
}  // namespace gaugevalve::flow
