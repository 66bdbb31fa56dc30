#include "progress_monitor.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gaugevalve::agent {
namespace {

base::TimePoint At(std::int64_t seconds) { return base::TimePoint(std::chrono::seconds(seconds)); }

class ProgressMonitorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProgressMonitorTest);
  CPPUNIT_TEST(AStallIsReportedOnce);
  CPPUNIT_TEST(ProgressRestartsTheStallTime);
  CPPUNIT_TEST(RemovedItemsAreForgotten);
  CPPUNIT_TEST(ItemsAreTrackedSeparately);
  CPPUNIT_TEST(TheIdleTimeBeginsWithTheLastProgress);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AStallIsReportedOnce() {
    CPPUNIT_ASSERT(monitor_.TakeStalled({{4, 10}}, At(0)).empty());
    CPPUNIT_ASSERT(monitor_.TakeStalled({{4, 10}}, At(4)).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, monitor_.TakeStalled({{4, 10}}, At(5)).size());
    CPPUNIT_ASSERT(monitor_.TakeStalled({{4, 10}}, At(20)).empty());
  }

  void ProgressRestartsTheStallTime() {
    monitor_.TakeStalled({{4, 10}}, At(0));
    CPPUNIT_ASSERT(monitor_.TakeStalled({{4, 11}}, At(4)).empty());
    CPPUNIT_ASSERT(monitor_.TakeStalled({{4, 11}}, At(8)).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, monitor_.TakeStalled({{4, 11}}, At(9)).size());
    monitor_.TakeStalled({{4, 12}}, At(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, monitor_.TakeStalled({{4, 12}}, At(15)).size());
  }

  void RemovedItemsAreForgotten() {
    monitor_.TakeStalled({{4, 10}}, At(0));
    monitor_.TakeStalled({}, At(3));
    CPPUNIT_ASSERT(monitor_.TakeStalled({{4, 10}}, At(6)).empty());
  }

  void ItemsAreTrackedSeparately() {
    monitor_.TakeStalled({{4, 10}, {8, 10}}, At(0));
    const std::vector<int> stalled = monitor_.TakeStalled({{4, 10}, {8, 20}}, At(5));
    CPPUNIT_ASSERT(stalled == std::vector{4});
  }

  void TheIdleTimeBeginsWithTheLastProgress() {
    monitor_.TakeStalled({{4, 10}}, At(0));
    monitor_.TakeStalled({{4, 11}}, At(3));
    monitor_.TakeStalled({{4, 11}}, At(9));
    CPPUNIT_ASSERT(monitor_.IdleTime(4, At(9)) == std::chrono::seconds(6));
    CPPUNIT_ASSERT(monitor_.IdleTime(5, At(9)) == std::chrono::seconds(0));
  }

 private:
  ProgressMonitor<int> monitor_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProgressMonitorTest);

}  // namespace
}  // namespace gaugevalve::agent
