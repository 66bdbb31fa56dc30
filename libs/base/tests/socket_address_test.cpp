#include "gaugevalve/base/socket_address.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gaugevalve::base {
namespace {

class SocketAddressTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SocketAddressTest);
  CPPUNIT_TEST(TextFormReadsBack);
  CPPUNIT_TEST(MalformedTextIsRefused);
  CPPUNIT_TEST(NativeFormReadsBack);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TextFormReadsBack() {
    for (const char* text : {"127.0.0.1:80", "0.0.0.0:0", "[2001:db8::1]:65535"}) {
      const auto address = SocketAddress::Parse(text);
      CPPUNIT_ASSERT(address.has_value());
      CPPUNIT_ASSERT_EQUAL(std::string(text), address->ToString());
    }
  }

  void MalformedTextIsRefused() {
    for (const char* text : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:-1",
                             "localhost:80", "[::1]80", "[::1", "127.0.0.1: 80", "1.2.3:4"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !SocketAddress::Parse(text).has_value());
    }
  }

  void NativeFormReadsBack() {
    for (const char* text : {"127.0.0.1:80", "[2001:db8::1]:443"}) {
      const SocketAddress address = *SocketAddress::Parse(text);
      sockaddr_storage native{};
      address.ToNative(native);
      CPPUNIT_ASSERT(SocketAddress::FromNative(native) == address);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SocketAddressTest);

}  // namespace
}  // namespace gaugevalve::base
