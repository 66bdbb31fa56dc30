#include "gaugevalve/wire/proxy_datagram.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <string>
#include <vector>

namespace gaugevalve::wire {
namespace {

using Bytes = std::vector<std::uint8_t>;

// The published example form: signature, version 2 PROXY, UDP over IPv4, 12 bytes of addresses.
const Bytes ipv4_datagram{0x0d, 0x0a, 0x0d, 0x0a, 0x00, 0x0d, 0x0a, 0x51, 0x55, 0x49,
                          0x54, 0x0a, 0x21, 0x12, 0x00, 0x0c, 192,  0,    2,    1,
                          198,  51,   100,  7,    0x10, 0x01, 0x00, 0x35, 'h',  'i'};
constexpr std::size_t kVersionByte = 12;
constexpr std::size_t kFamilyByte = 13;
constexpr std::size_t kLengthLowByte = 15;

std::string ErrorOf(const Bytes& bytes) {
  const Decoded<ProxyDatagram> decoded = DecodeProxyDatagram(bytes);
  const auto* const error = std::get_if<DecodeError>(&decoded);
  return error == nullptr ? "decoded" : std::string(ToString(*error));
}

std::string ErrorAfterChange(std::size_t position, std::uint8_t value) {
  Bytes changed = ipv4_datagram;
  changed.at(position) = value;
  return ErrorOf(changed);
}

class ProxyDatagramTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProxyDatagramTest);
  CPPUNIT_TEST(Ipv4DatagramIsTakenApart);
  CPPUNIT_TEST(Ipv6HeaderIsReadBack);
  CPPUNIT_TEST(EachFaultHasItsReason);
  CPPUNIT_TEST(EveryCutIsAnError);
  CPPUNIT_TEST(FieldPastTheEndIsMalformed);
  CPPUNIT_TEST(WriterRefusesWhatDoesNotFit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Ipv4DatagramIsTakenApart() {
    const auto datagram = std::get<ProxyDatagram>(DecodeProxyDatagram(ipv4_datagram));
    CPPUNIT_ASSERT_EQUAL(std::string("192.0.2.1:4097"), datagram.source.ToString());
    CPPUNIT_ASSERT_EQUAL(std::string("198.51.100.7:53"), datagram.destination.ToString());
    CPPUNIT_ASSERT(datagram.fields.empty());
    CPPUNIT_ASSERT_EQUAL(std::string("hi"),
                         std::string(datagram.payload.begin(), datagram.payload.end()));
    std::array<std::uint8_t, kMaxPlainProxyHeaderSize> buffer;
    const std::size_t size = EncodeProxyHeader(buffer, datagram.source, datagram.destination);
    CPPUNIT_ASSERT(Bytes(buffer.begin(), buffer.begin() + size) ==
                   Bytes(ipv4_datagram.begin(), ipv4_datagram.end() - 2));
  }

  void Ipv6HeaderIsReadBack() {
    const auto source = *base::SocketAddress::Parse("[2001:db8::1]:4000");
    const auto destination = *base::SocketAddress::Parse("[2001:db8::2]:443");
    std::array<std::uint8_t, kMaxPlainProxyHeaderSize> buffer;
    const std::size_t size = EncodeProxyHeader(buffer, source, destination);
    CPPUNIT_ASSERT_EQUAL(kMaxPlainProxyHeaderSize, size);
    const auto datagram = std::get<ProxyDatagram>(DecodeProxyDatagram(buffer));
    CPPUNIT_ASSERT_EQUAL(source, datagram.source);
    CPPUNIT_ASSERT_EQUAL(destination, datagram.destination);
  }

  void EachFaultHasItsReason() {
    CPPUNIT_ASSERT_EQUAL(std::string("bad_signature"), ErrorAfterChange(0, 'G'));
    CPPUNIT_ASSERT_EQUAL(std::string("bad_signature"), ErrorOf({'h', 'e', 'l', 'l', 'o'}));
    CPPUNIT_ASSERT_EQUAL(std::string("wrong_version"), ErrorAfterChange(kVersionByte, 0x11));
    CPPUNIT_ASSERT_EQUAL(std::string("unsupported_command"), ErrorAfterChange(kVersionByte, 0x20));
    CPPUNIT_ASSERT_EQUAL(std::string("unsupported_family"), ErrorAfterChange(kFamilyByte, 0x11));
    CPPUNIT_ASSERT_EQUAL(std::string("unsupported_family"), ErrorAfterChange(kFamilyByte, 0x32));
    CPPUNIT_ASSERT_EQUAL(std::string("bad_length"), ErrorAfterChange(kLengthLowByte, 11));
    CPPUNIT_ASSERT_EQUAL(std::string("truncated"), ErrorAfterChange(kLengthLowByte, 15));
  }

  void EveryCutIsAnError() {
    constexpr std::size_t kHeaderSize = 28;
    for (std::size_t size = 0; size < kHeaderSize; ++size) {
      const Bytes cut(ipv4_datagram.begin(), ipv4_datagram.begin() + size);
      CPPUNIT_ASSERT_EQUAL(std::string("truncated"), ErrorOf(cut));
    }
  }

  void FieldPastTheEndIsMalformed() {
    // The two payload bytes become part of the header, too few for a field.
    CPPUNIT_ASSERT_EQUAL(std::string("malformed_tlv"), ErrorAfterChange(kLengthLowByte, 14));
    Bytes overlong = ipv4_datagram;
    overlong.at(kLengthLowByte) = 16;
    overlong.insert(overlong.end() - 2, {0xe0, 0x00});  // field of 'h' * 256 + ... bytes
    CPPUNIT_ASSERT_EQUAL(std::string("malformed_tlv"), ErrorOf(overlong));
  }

  void WriterRefusesWhatDoesNotFit() {
    const base::SocketAddress ipv4 = base::SocketAddress::Ipv4(0x7f000001, 1);
    const auto ipv6 = *base::SocketAddress::Parse("[::1]:1");
    std::array<std::uint8_t, 20> small;
    CPPUNIT_ASSERT_THROW(EncodeProxyHeader(small, ipv4, ipv4), std::length_error);
    std::array<std::uint8_t, kMaxPlainProxyHeaderSize> buffer;
    CPPUNIT_ASSERT_THROW(EncodeProxyHeader(buffer, ipv4, ipv6), std::invalid_argument);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProxyDatagramTest);

}  // namespace
}  // namespace gaugevalve::wire
