#include "impairment.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace gaugevalve::standins {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kSeed = 20;
constexpr int kTrials = 10'000;

class ImpairmentTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ImpairmentTest);
  CPPUNIT_TEST(NothingHappensByDefault);
  CPPUNIT_TEST(FractionsAreKept);
  CPPUNIT_TEST(DelaysStayWithinTheirBounds);
  CPPUNIT_TEST(SettingsReadBack);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NothingHappensByDefault() {
    Impairment impairment(kSeed);
    for (int trial = 0; trial < kTrials; ++trial) {
      CPPUNIT_ASSERT(impairment.Decide() == Impairment::Fate{base::Duration::zero()});
    }
  }

  void FractionsAreKept() {
    Impairment impairment(kSeed);
    ImpairmentSettings settings;
    settings.drop_fraction = 0.2;
    settings.duplicate_fraction = 0.5;
    impairment.SetSettings(settings);
    int lost = 0;
    int doubled = 0;
    for (int trial = 0; trial < kTrials; ++trial) {
      const std::size_t copies = impairment.Decide().size();
      lost += copies == 0 ? 1 : 0;
      doubled += copies == 2 ? 1 : 0;
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.2, static_cast<double>(lost) / kTrials, 0.02);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.4, static_cast<double>(doubled) / kTrials, 0.02);
  }

  void DelaysStayWithinTheirBounds() {
    Impairment impairment(kSeed);
    ImpairmentSettings settings;
    settings.delay = milliseconds(10);
    settings.jitter = milliseconds(5);
    settings.reorder_fraction = 0.5;
    settings.reorder_delay = milliseconds(100);
    impairment.SetSettings(settings);
    int held_back = 0;
    for (int trial = 0; trial < kTrials; ++trial) {
      const base::Duration delay = impairment.Decide().front();
      const bool is_held_back = delay >= milliseconds(110);
      held_back += is_held_back ? 1 : 0;
      const base::Duration own = delay - (is_held_back ? milliseconds(100) : milliseconds(0));
      CPPUNIT_ASSERT(own >= milliseconds(10) && own <= milliseconds(15));
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, static_cast<double>(held_back) / kTrials, 0.03);
  }

  void SettingsReadBack() {
    ImpairmentSettings settings;
    settings.drop_fraction = 0.25;
    settings.delay = milliseconds(7);
    CPPUNIT_ASSERT(ImpairmentFromJson({}, ImpairmentToJson(settings)) == settings);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ImpairmentTest);

}  // namespace
}  // namespace gaugevalve::standins
