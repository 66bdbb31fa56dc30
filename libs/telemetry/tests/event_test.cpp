#include "gaugevalve/telemetry/event.h"

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <string>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/telemetry/logging.h"

namespace gaugevalve::telemetry {
namespace {

class EventTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventTest);
  CPPUNIT_TEST(FieldsAreKeyValuePairs);
  CPPUNIT_TEST(ValuesThatWouldBreakTheLineAreQuoted);
  CPPUNIT_TEST(LevelsAreReadByName);
  CPPUNIT_TEST(LinesGoToADescriptor);
  CPPUNIT_TEST(AFullPipeCostsLinesAndNothingElse);
  CPPUNIT_TEST(AClosedReaderCostsLinesAndNothingElse);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FieldsAreKeyValuePairs() {
    const LoggingSession session(Level::kError);
    Event event(Level::kDebug, "flow_opened");
    event.Field("service", "stock")
        .Field("count", 3)
        .Field("id", base::ServiceId(7))
        .Field("ok", true);
    CPPUNIT_ASSERT_EQUAL(std::string("event=flow_opened service=stock count=3 id=7 ok=true"),
                         event.text());
  }

  void ValuesThatWouldBreakTheLineAreQuoted() {
    const LoggingSession session(Level::kError);
    Event event(Level::kDebug, "odd");
    event.Field("text", "a \"b\"\nc=d\x01").Field("none", "");
    CPPUNIT_ASSERT_EQUAL(std::string("event=odd text=\"a \\\"b\\\"\\nc=d\\x01\" none=\"\""),
                         event.text());
  }

  void LevelsAreReadByName() {
    CPPUNIT_ASSERT(ParseLevel("warning") == Level::kWarning);
    CPPUNIT_ASSERT(!ParseLevel("loud").has_value());
  }

  void LinesGoToADescriptor() {
    const Pipe pipe;
    const LoggingSession session(Level::kInfo, pipe.ends[1]);
    Event(Level::kInfo, "first").Field("count", 1);
    std::array<char, 512> buffer{};
    const ssize_t size = read(pipe.ends[0], buffer.data(), buffer.size());
    const std::string line(buffer.data(), static_cast<std::size_t>(size));
    CPPUNIT_ASSERT(line.find("level=INFO event=first count=1\n") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, LogLinesLost());
  }

  // Without the check for room the second line past the pipe's size would never return.
  void AFullPipeCostsLinesAndNothingElse() {
    const Pipe pipe;
    const LoggingSession session(Level::kInfo, pipe.ends[1]);
    const std::string text(3000, 'x');
    for (int count = 0; count < 100; ++count) {
      Event(Level::kInfo, "long").Field("text", text);
    }
    CPPUNIT_ASSERT(LogLinesLost() > 50);
  }

  void AClosedReaderCostsLinesAndNothingElse() {
    Pipe pipe;
    close(pipe.ends[0]);
    pipe.ends[0] = -1;
    void (*const before)(int) = std::signal(SIGPIPE, SIG_IGN);
    const LoggingSession session(Level::kInfo, pipe.ends[1]);
    { const Event lost(Level::kInfo, "lost"); }
    std::signal(SIGPIPE, before);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, LogLinesLost());
  }

 private:
  struct Pipe {
    Pipe() { CPPUNIT_ASSERT_EQUAL(0, pipe(ends)); }
    ~Pipe() {
      close(ends[0]);
      close(ends[1]);
    }
    Pipe(const Pipe&) = delete;
    Pipe& operator=(const Pipe&) = delete;
    int ends[2] = {-1, -1};
  };
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventTest);

}  // namespace
}  // namespace gaugevalve::telemetry
