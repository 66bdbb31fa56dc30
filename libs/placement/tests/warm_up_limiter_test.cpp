#include "gaugevalve/placement/warm_up_limiter.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <vector>

#include "placement_fixture.h"

namespace gaugevalve::placement {
namespace {

using std::chrono::milliseconds;
using testing::At;

constexpr WarmUpRate kRate{10, milliseconds(5000)};
constexpr WarmUpTolerance kTolerance{1.5, 5};
constexpr int kLimit = 20;  // 10 * 1.5 + 5

class WarmUpLimiterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WarmUpLimiterTest);
  CPPUNIT_TEST(WithoutToleranceThereIsNoBound);
  CPPUNIT_TEST(ARateOfZeroIsNoBound);
  CPPUNIT_TEST(TheFirstSecondCountsAsUsed);
  CPPUNIT_TEST(NoSecondGetsMoreThanTheLimit);
  CPPUNIT_TEST(UntilTheRateIsKnownOnlyTheSlackIsUsed);
  CPPUNIT_TEST(OpeningsBeforeTheWarmUpCount);
  CPPUNIT_TEST_SUITE_END();

 public:
  void WithoutToleranceThereIsNoBound() {
    WarmUpLimiter limiter(std::nullopt);
    limiter.SetRate(kRate);
    CPPUNIT_ASSERT_EQUAL(1000, Take(limiter, 0, 1000));
  }

  void ARateOfZeroIsNoBound() {
    WarmUpLimiter limiter(kTolerance);
    limiter.SetRate({0, milliseconds(2000)});
    CPPUNIT_ASSERT_EQUAL(1000, Take(limiter, 0, 1000));
  }

  void TheFirstSecondCountsAsUsed() {
    WarmUpLimiter limiter(kTolerance);
    limiter.SetRate(kRate);
    CPPUNIT_ASSERT_EQUAL(0, Take(limiter, 0, 5));
    CPPUNIT_ASSERT_EQUAL(0, Take(limiter, 1000, 5));
    CPPUNIT_ASSERT_EQUAL(kLimit, Take(limiter, 1100, 50));
  }

  // Checks each window of one second, with openings requested at various times.
  void NoSecondGetsMoreThanTheLimit() {
    WarmUpLimiter limiter(kTolerance);
    limiter.SetRate(kRate);
    std::vector<std::int64_t> taken;
    for (std::int64_t at = 0; at < 10'000; at += 7) {
      for (int count = Take(limiter, at, 3); count > 0; --count) {
        taken.push_back(at);
      }
    }
    for (std::size_t first = 0; first < taken.size(); ++first) {
      const auto within = std::count_if(taken.begin(), taken.end(), [&](std::int64_t at) {
        return at >= taken[first] && at <= taken[first] + 1000;
      });
      CPPUNIT_ASSERT(within <= kLimit);
    }
    CPPUNIT_ASSERT(taken.size() > 8 * kLimit);
  }

  void UntilTheRateIsKnownOnlyTheSlackIsUsed() {
    WarmUpLimiter limiter(kTolerance);
    Take(limiter, 0, 1);
    CPPUNIT_ASSERT_EQUAL(5, Take(limiter, 1100, 50));
  }

  void OpeningsBeforeTheWarmUpCount() {
    WarmUpLimiter limiter(kTolerance);
    limiter.SetRate(kRate);
    for (int count = 0; count < 18; ++count) {
      limiter.Note(At(5000));  // while the endpoint was warm
    }
    CPPUNIT_ASSERT_EQUAL(0, Take(limiter, 5500, 50));  // within one second of the first use
    CPPUNIT_ASSERT_EQUAL(kLimit, Take(limiter, 6100, 50));
    for (int count = 0; count < 18; ++count) {
      limiter.Note(At(8000));
    }
    CPPUNIT_ASSERT_EQUAL(2, Take(limiter, 8500, 50));
  }

 private:
  // Takes as many openings as the limiter allows, at most `most`.
  static int Take(WarmUpLimiter& limiter, std::int64_t at, int most) {
    int taken = 0;
    while (taken < most && limiter.HasRoom(At(at))) {
      limiter.Note(At(at));
      ++taken;
    }
    return taken;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WarmUpLimiterTest);

}  // namespace
}  // namespace gaugevalve::placement
