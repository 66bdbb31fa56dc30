#include "latency_samples.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gaugevalve::load {
namespace {

class LatencySamplesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LatencySamplesTest);
  CPPUNIT_TEST(QuantilesAreNearestRanks);
  CPPUNIT_TEST(ManySamplesKeepTheirDistribution);
  CPPUNIT_TEST_SUITE_END();

 public:
  void QuantilesAreNearestRanks() {
    LatencySamples samples;
    CPPUNIT_ASSERT(samples.Quantile(0.5) == base::Duration(0));
    for (int value = 100; value >= 1; --value) {
      samples.Add(base::Duration(value));
    }
    CPPUNIT_ASSERT(samples.Quantile(0) == base::Duration(1));
    CPPUNIT_ASSERT(samples.Quantile(0.5) == base::Duration(50));
    CPPUNIT_ASSERT(samples.Quantile(0.99) == base::Duration(99));
    CPPUNIT_ASSERT(samples.Largest() == base::Duration(100));
  }

  void ManySamplesKeepTheirDistribution() {
    LatencySamples samples;
    constexpr std::int64_t kCount = 3 * LatencySamples::kCapacity;
    for (std::int64_t value = 0; value < kCount; ++value) {
      samples.Add(base::Duration(value));
    }
    const double median = static_cast<double>(samples.Quantile(0.5).count());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, median / kCount, 0.02);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{kCount}, samples.Count());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LatencySamplesTest);

}  // namespace
}  // namespace gaugevalve::load
