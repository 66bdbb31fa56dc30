#include "http1_request.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gaugevalve::agent {
namespace {

class Http1RequestTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(Http1RequestTest);
  CPPUNIT_TEST(RequestsThatCouldInjectALineAreNotWritable);
  CPPUNIT_TEST(AnEmptyPostHasContentLengthZero);
  CPPUNIT_TEST_SUITE_END();

  static quic::RequestHead Head() { return {"GET", "https", "h", "/a?b=c", {{"x", "y z"}}}; }

 public:
  void RequestsThatCouldInjectALineAreNotWritable() {
    CPPUNIT_ASSERT(IsWritable(Head()));
    const auto refuses = [](auto change) {
      quic::RequestHead head = Head();
      change(head);
      return !IsWritable(head);
    };
    CPPUNIT_ASSERT(refuses([](auto& head) { head.path = "/a HTTP/1.1\r\nx: y"; }));
    CPPUNIT_ASSERT(refuses([](auto& head) { head.path = "/a b"; }));
    CPPUNIT_ASSERT(refuses([](auto& head) { head.path.clear(); }));
    CPPUNIT_ASSERT(refuses([](auto& head) { head.method = "GET /"; }));
    CPPUNIT_ASSERT(refuses([](auto& head) { head.authority = "h\r\n"; }));
    CPPUNIT_ASSERT(refuses([](auto& head) { head.fields[0].value = "y\r\nz: 1"; }));
    CPPUNIT_ASSERT(refuses([](auto& head) { head.fields[0].name = "x: 1\r\nz"; }));
    CPPUNIT_ASSERT(refuses([](auto& head) { head.fields[0].name = "x:"; }));
  }

  void AnEmptyPostHasContentLengthZero() {
    quic::RequestHead head = Head();
    head.method = "POST";
    head.fields.clear();
    CPPUNIT_ASSERT_EQUAL(
        std::string("POST /a?b=c HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n"),
        WriteRequestHead(head, FramingOf(head, true)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(Http1RequestTest);

}  // namespace
}  // namespace gaugevalve::agent
