#include "gaugevalve/telemetry/log_line.h"

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <array>
#include <string>

#include "gaugevalve/telemetry/event.h"
#include "gaugevalve/telemetry/logging.h"

namespace gaugevalve::telemetry {
namespace {

class LogLineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogLineTest);
  CPPUNIT_TEST(ALineIsReadAsWritten);
  CPPUNIT_TEST(TimesAreReadToTheMillisecond);
  CPPUNIT_TEST(WhatStandsBeforeTheLineIsKept);
  CPPUNIT_TEST(ALineWithoutSteadyTimeIsRead);
  CPPUNIT_TEST(OtherTextIsNoEvent);
  CPPUNIT_TEST(ACutValueEndsTheLine);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ALineIsReadAsWritten() {
    const std::string odd = "a \"b\"\nc=d\x01\\";
    std::array<int, 2> ends{};
    CPPUNIT_ASSERT_EQUAL(0, pipe(ends.data()));
    {
      const LoggingSession session(Level::kInfo, ends[1]);
      Event(Level::kWarning, "first").Field("count", 1).Field("text", odd).Field("none", "");
    }
    std::array<char, 512> buffer{};
    const ssize_t size = read(ends[0], buffer.data(), buffer.size());
    close(ends[0]);
    close(ends[1]);
    const auto line = ParseLogLine({buffer.data(), static_cast<std::size_t>(size)});
    CPPUNIT_ASSERT(line.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("first"), line->event);
    CPPUNIT_ASSERT(line->level == "WARN" || line->level == "WARNING");
    CPPUNIT_ASSERT(line->time_ms > 0);
    CPPUNIT_ASSERT(line->steady_us > 0);
    CPPUNIT_ASSERT(line->Get("count") == "1");
    CPPUNIT_ASSERT(line->Get("text") == odd);
    CPPUNIT_ASSERT(line->Find("none") == "");
    CPPUNIT_ASSERT(!line->Find("other"));
  }

  void TimesAreReadToTheMillisecond() {
    const auto line = ParseLogLine("time=1970-01-02T00:00:01.005Z event=x");
    CPPUNIT_ASSERT_EQUAL(std::int64_t{86'401'005}, line->time_ms);
  }

  void WhatStandsBeforeTheLineIsKept() {
    const auto line = ParseLogLine("  3.5 node-1 time=1970-01-01T00:00:00.001Z event=x a=1\r\n");
    CPPUNIT_ASSERT_EQUAL(std::string("  3.5 node-1 "), line->prefix);
    CPPUNIT_ASSERT(line->Get("a") == "1");
  }

  void ALineWithoutSteadyTimeIsRead() {
    const auto line = ParseLogLine("time=1970-01-01T00:00:00.001Z level=INFO event=x");
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, line->steady_us);
  }

  void OtherTextIsNoEvent() {
    for (const char* text :
         {"", "hello", "time=", "time=soon event=x", "event=x",
          "time=1970-13-01T00:00:00.001Z event=x", "time=1970-01-01T00:00:00.001Z level=INFO"}) {
      CPPUNIT_ASSERT(!ParseLogLine(text));
    }
  }

  void ACutValueEndsTheLine() {
    const auto line = ParseLogLine("time=1970-01-01T00:00:00.001Z event=x a=1 b=\"cut");
    CPPUNIT_ASSERT(line->Get("a") == "1");
    CPPUNIT_ASSERT(!line->Find("b"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogLineTest);

}  // namespace
}  // namespace gaugevalve::telemetry
