#include "gaugevalve/telemetry/event.h"

#include <cppunit/extensions/HelperMacros.h>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/telemetry/logging.h"

namespace gaugevalve::telemetry {
namespace {

class EventTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventTest);
  CPPUNIT_TEST(FieldsAreKeyValuePairs);
  CPPUNIT_TEST(ValuesThatWouldBreakTheLineAreQuoted);
  CPPUNIT_TEST(LevelsAreReadByName);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventTest);

}  // namespace
}  // namespace gaugevalve::telemetry
