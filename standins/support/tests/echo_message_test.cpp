#include "gaugevalve/standins/echo_message.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gaugevalve::standins {
namespace {

class EchoMessageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EchoMessageTest);
  CPPUNIT_TEST(MessagesReadBack);
  CPPUNIT_TEST(PaddingIsKeptOutOfTheRequest);
  CPPUNIT_TEST(OtherBytesAreRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void MessagesReadBack() {
    const EchoRequest request{"stock", 17, 3};
    CPPUNIT_ASSERT(DecodeEchoRequest(EncodeEchoRequest(request, 0)) == request);
    const EchoAnswer answer{request, "stock-1", "stock"};
    CPPUNIT_ASSERT(DecodeEchoAnswer(EncodeEchoAnswer(answer)) == answer);
  }

  void PaddingIsKeptOutOfTheRequest() {
    const EchoRequest request{"stock", 1, 1};
    const std::vector<std::uint8_t> bytes = EncodeEchoRequest(request, 500);
    CPPUNIT_ASSERT_EQUAL(std::size_t{500}, bytes.size());
    CPPUNIT_ASSERT(DecodeEchoRequest(bytes) == request);
  }

  void OtherBytesAreRefused() {
    for (const std::string text : {"", "{}", "[1]", "null", R"({"service":1,"flow":2,"number":3})",
                                   R"({"service":"a","flow":"b","number":3})", "\xff\xfe"}) {
      const std::vector<std::uint8_t> bytes(text.begin(), text.end());
      CPPUNIT_ASSERT_MESSAGE(text, !DecodeEchoRequest(bytes));
      CPPUNIT_ASSERT_MESSAGE(text, !DecodeEchoAnswer(bytes));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EchoMessageTest);

}  // namespace
}  // namespace gaugevalve::standins
