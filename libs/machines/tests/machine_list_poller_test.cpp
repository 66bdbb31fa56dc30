#include "gaugevalve/machines/machine_list_poller.h"

#include <cppunit/extensions/HelperMacros.h>

#include "gaugevalve/base/clock.h"

namespace gaugevalve::machines {
namespace {

class MachineListPollerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MachineListPollerTest);
  CPPUNIT_TEST(FetchesOneAtATimeAndSpread);
  CPPUNIT_TEST(GivesUpAFetchThatHangs);
  CPPUNIT_TEST(TakesOnlyNewerLists);
  CPPUNIT_TEST(CountsFailures);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FetchesOneAtATimeAndSpread() {
    MachineListPoller poller({}, kSeed);
    CPPUNIT_ASSERT(poller.StartIfDue(clock_.Now()));
    CPPUNIT_ASSERT(!poller.StartIfDue(clock_.Now()));
    poller.OnAnswer(List(1), clock_.Now());
    const base::Duration wait = poller.NextDue() - clock_.Now();
    CPPUNIT_ASSERT(wait >= MachineListPollerSettings{}.period / 2);
    CPPUNIT_ASSERT(wait <= MachineListPollerSettings{}.period);
    clock_.Advance(wait);
    CPPUNIT_ASSERT(poller.StartIfDue(clock_.Now()));
  }

  void GivesUpAFetchThatHangs() {
    MachineListPoller poller({}, kSeed);
    poller.StartIfDue(clock_.Now());
    CPPUNIT_ASSERT(!poller.ExpireIfDue(clock_.Now()));
    clock_.Advance(MachineListPollerSettings{}.timeout);
    CPPUNIT_ASSERT(poller.ExpireIfDue(clock_.Now()));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, poller.ConsecutiveFailures());
  }

  void TakesOnlyNewerLists() {
    MachineListPoller poller({}, kSeed);
    CPPUNIT_ASSERT(poller.OnAnswer(List(5), clock_.Now()).has_value());
    CPPUNIT_ASSERT(!poller.OnAnswer(List(5), clock_.Now()).has_value());
    CPPUNIT_ASSERT(!poller.OnAnswer(List(4), clock_.Now()).has_value());
    CPPUNIT_ASSERT(poller.OnAnswer(List(6), clock_.Now()).has_value());
  }

  void CountsFailures() {
    MachineListPoller poller({}, kSeed);
    poller.OnAnswer({503, "", std::nullopt}, clock_.Now());
    poller.OnAnswer({200, "not JSON", std::nullopt}, clock_.Now());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, poller.ConsecutiveFailures());
    poller.OnAnswer(List(1), clock_.Now());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, poller.ConsecutiveFailures());
  }

 private:
  static constexpr std::uint64_t kSeed = 3;

  static http_client::HttpAnswer List(std::uint64_t version) {
    return {200, FormatMachineList({version, {}}), std::nullopt};
  }

  base::ManualClock clock_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(MachineListPollerTest);

}  // namespace
}  // namespace gaugevalve::machines
