#include "port_quarantine.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace gaugevalve::load {
namespace {

using std::chrono::seconds;

class PortQuarantineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PortQuarantineTest);
  CPPUNIT_TEST(HoldsEachPortForItsTime);
  CPPUNIT_TEST_SUITE_END();

  void HoldsEachPortForItsTime() {
    const base::TimePoint start{seconds(100)};
    PortQuarantine quarantine(seconds(30));
    CPPUNIT_ASSERT(!quarantine.Holds(1000, start));
    quarantine.Add(1000, start);
    quarantine.Add(1001, start + seconds(10));
    CPPUNIT_ASSERT(quarantine.Holds(1000, start + seconds(29)));
    CPPUNIT_ASSERT(!quarantine.Holds(1000, start + seconds(30)));
    CPPUNIT_ASSERT(quarantine.Holds(1001, start + seconds(30)));
    quarantine.Add(1000, start + seconds(35));
    CPPUNIT_ASSERT(!quarantine.Holds(1001, start + seconds(40)));
    CPPUNIT_ASSERT(quarantine.Holds(1000, start + seconds(64)));
    CPPUNIT_ASSERT(!quarantine.Holds(1000, start + seconds(65)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PortQuarantineTest);

}  // namespace
}  // namespace gaugevalve::load
