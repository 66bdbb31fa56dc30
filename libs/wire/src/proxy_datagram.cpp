#include "gaugevalve/wire/proxy_datagram.h"

#include <algorithm>
#include <array>
#include <optional>
#include <stdexcept>

#include "gaugevalve/wire/byte_reader.h"
#include "gaugevalve/wire/tlv_reader.h"

namespace gaugevalve::wire {
namespace {

constexpr std::array<std::uint8_t, 12> kSignature{0x0d, 0x0a, 0x0d, 0x0a, 0x00, 0x0d,
                                                  0x0a, 0x51, 0x55, 0x49, 0x54, 0x0a};
constexpr std::uint8_t kVersionMask = 0xf0;
constexpr std::uint8_t kVersion2 = 0x20;
constexpr std::uint8_t kVersion2Proxy = 0x21;
constexpr std::uint8_t kUdpOverIpv4 = 0x12;
constexpr std::uint8_t kUdpOverIpv6 = 0x22;
constexpr std::size_t kLengthPosition = 14;
constexpr std::size_t kFixedSize = 16;
constexpr std::size_t kIpv4AddressesSize = 2 * (4 + 2);
constexpr std::size_t kIpv6AddressesSize = 2 * (16 + 2);

std::optional<base::AddressFamily> FamilyOf(std::uint8_t code) {
  if (code == kUdpOverIpv4) {
    return base::AddressFamily::kIpv4;
  }
  if (code == kUdpOverIpv6) {
    return base::AddressFamily::kIpv6;
  }
  return std::nullopt;
}

std::size_t AddressesSize(base::AddressFamily family) {
  return family == base::AddressFamily::kIpv4 ? kIpv4AddressesSize : kIpv6AddressesSize;
}

bool FieldsAreWellFormed(std::span<const std::uint8_t> fields) {
  TlvReader reader(fields);
  while (reader.Next()) {
  }
  return reader.Ok();
}

// Reads the addresses and fields in `body`, the part that the header's length covers.
Decoded<ProxyDatagram> DecodeBody(base::AddressFamily family, std::span<const std::uint8_t> body,
                                  std::span<const std::uint8_t> payload) {
  if (body.size() < AddressesSize(family)) {
    return DecodeError::kBadLength;
  }
  ByteReader reader(body);
  ProxyDatagram result;
  result.source = reader.ReadAddress(family);
  result.destination = reader.ReadAddress(family);
  result.source.port = reader.ReadUint16();
  result.destination.port = reader.ReadUint16();
  result.fields = reader.Rest();
  result.payload = payload;
  if (!FieldsAreWellFormed(result.fields)) {
    return DecodeError::kMalformedTlv;
  }
  return result;
}

}  // namespace

Decoded<ProxyDatagram> DecodeProxyDatagram(std::span<const std::uint8_t> datagram) {
  const std::size_t signature_size = std::min(datagram.size(), kSignature.size());
  if (!std::equal(datagram.begin(), datagram.begin() + signature_size, kSignature.begin())) {
    return DecodeError::kBadSignature;
  }
  if (datagram.size() < kFixedSize) {
    return DecodeError::kTruncated;
  }
  ByteReader reader(datagram.subspan(kSignature.size()));
  const std::uint8_t version_and_command = reader.ReadUint8();
  if ((version_and_command & kVersionMask) != kVersion2) {
    return DecodeError::kWrongVersion;
  }
  if (version_and_command != kVersion2Proxy) {
    return DecodeError::kUnsupportedCommand;
  }
  const std::optional<base::AddressFamily> family = FamilyOf(reader.ReadUint8());
  if (!family) {
    return DecodeError::kUnsupportedFamily;
  }
  const std::size_t length = reader.ReadUint16();
  const std::span<const std::uint8_t> body = reader.ReadBytes(length);
  if (!reader.Ok()) {
    return DecodeError::kTruncated;
  }
  return DecodeBody(*family, body, reader.Rest());
}

ProxyHeaderWriter::ProxyHeaderWriter(std::span<std::uint8_t> buffer,
                                     const base::SocketAddress& source,
                                     const base::SocketAddress& destination)
    : writer_(buffer) {
  if (source.family != destination.family) {
    throw std::invalid_argument("source and destination are of different address families");
  }
  writer_.WriteBytes(kSignature);
  writer_.WriteUint8(kVersion2Proxy);
  writer_.WriteUint8(source.family == base::AddressFamily::kIpv4 ? kUdpOverIpv4 : kUdpOverIpv6);
  writer_.WriteUint16(0);  // the length, known in Finish()
  writer_.WriteAddress(source);
  writer_.WriteAddress(destination);
  writer_.WriteUint16(source.port);
  writer_.WriteUint16(destination.port);
}

ByteWriter& ProxyHeaderWriter::BeginField(std::uint8_t type) {
  writer_.WriteUint8(type);
  writer_.WriteUint16(0);
  field_start_ = writer_.Size();
  return writer_;
}

void ProxyHeaderWriter::EndField() {
  const std::size_t length = writer_.Size() - field_start_;
  writer_.PatchUint16(field_start_ - sizeof(std::uint16_t), static_cast<std::uint16_t>(length));
}

std::size_t ProxyHeaderWriter::Finish() {
  const std::size_t length = writer_.Size() - kFixedSize;
  writer_.PatchUint16(kLengthPosition, static_cast<std::uint16_t>(length));
  return writer_.Size();
}

std::size_t EncodeProxyHeader(std::span<std::uint8_t> buffer, const base::SocketAddress& source,
                              const base::SocketAddress& destination) {
  return ProxyHeaderWriter(buffer, source, destination).Finish();
}

}  // namespace gaugevalve::wire
