#include "answer_monitor.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gaugevalve::agent {
namespace {

base::TimePoint At(std::int64_t seconds) { return base::TimePoint(std::chrono::seconds(seconds)); }

quic::StreamOutput Output(std::int64_t stream, std::uint64_t acknowledged) {
  quic::StreamOutput output;
  output.remote = base::SocketAddress::Ipv4(0x7f000001, 4000);
  output.stream = stream;
  output.acknowledged = acknowledged;
  output.waiting = 100;
  return output;
}

class AnswerMonitorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AnswerMonitorTest);
  CPPUNIT_TEST(AnAnswerWithoutProgressIsToldOnce);
  CPPUNIT_TEST(ProgressBeginsTheTimeAnew);
  CPPUNIT_TEST(AStreamThatWasDoneIsForgotten);
  CPPUNIT_TEST(EachStreamCountsByItself);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AnAnswerWithoutProgressIsToldOnce() {
    CPPUNIT_ASSERT(monitor_.TakeStalled({Output(4, 10)}, At(0)).empty());
    CPPUNIT_ASSERT(monitor_.TakeStalled({Output(4, 10)}, At(4)).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, monitor_.TakeStalled({Output(4, 10)}, At(5)).size());
    CPPUNIT_ASSERT(monitor_.TakeStalled({Output(4, 10)}, At(20)).empty());
  }

  void ProgressBeginsTheTimeAnew() {
    monitor_.TakeStalled({Output(4, 10)}, At(0));
    CPPUNIT_ASSERT(monitor_.TakeStalled({Output(4, 11)}, At(4)).empty());
    CPPUNIT_ASSERT(monitor_.TakeStalled({Output(4, 11)}, At(8)).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, monitor_.TakeStalled({Output(4, 11)}, At(9)).size());
    monitor_.TakeStalled({Output(4, 12)}, At(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, monitor_.TakeStalled({Output(4, 12)}, At(15)).size());
  }

  void AStreamThatWasDoneIsForgotten() {
    monitor_.TakeStalled({Output(4, 10)}, At(0));
    monitor_.TakeStalled({}, At(3));
    CPPUNIT_ASSERT(monitor_.TakeStalled({Output(4, 10)}, At(6)).empty());
  }

  void EachStreamCountsByItself() {
    monitor_.TakeStalled({Output(4, 10), Output(8, 10)}, At(0));
    const auto stalled = monitor_.TakeStalled({Output(4, 10), Output(8, 20)}, At(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stalled.size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{4}, stalled.front().stream);
  }

 private:
  AnswerMonitor monitor_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswerMonitorTest);

}  // namespace
}  // namespace gaugevalve::agent
