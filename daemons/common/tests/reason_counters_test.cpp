#include "gaugevalve/daemon/reason_counters.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gaugevalve::daemon {
namespace {

enum class Reason : std::uint8_t { kFirst = 0, kSecond = 1 };

std::string_view ToString(Reason reason) { return reason == Reason::kFirst ? "first" : "second"; }

class ReasonCountersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReasonCountersTest);
  CPPUNIT_TEST(CountsShowOncePublished);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CountsShowOncePublished() {
    prometheus::Registry registry;
    ReasonCounters counters(registry, "dropped", "Dropped.", ReasonNames<Reason>(2));
    counters.Add(Reason::kSecond);
    counters.Add(Reason::kSecond);
    CPPUNIT_ASSERT_EQUAL(0.0, Value(registry, "second"));
    counters.Publish();
    counters.Publish();
    CPPUNIT_ASSERT_EQUAL(0.0, Value(registry, "first"));
    CPPUNIT_ASSERT_EQUAL(2.0, Value(registry, "second"));
  }

 private:
  static double Value(const prometheus::Registry& registry, const std::string& reason) {
    const std::vector<prometheus::MetricFamily> families = registry.Collect();
    for (const prometheus::ClientMetric& metric : families.at(0).metric) {
      if (metric.label.at(0).value == reason) {
        return metric.counter.value;
      }
    }
    return -1;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReasonCountersTest);

}  // namespace
}  // namespace gaugevalve::daemon
