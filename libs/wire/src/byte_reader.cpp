#include "gaugevalve/wire/byte_reader.h"

#include <algorithm>

namespace gaugevalve::wire {
namespace {

constexpr std::size_t kIpv4Size = 4;
constexpr std::size_t kIpv6Size = 16;
constexpr unsigned kBitsPerByte = 8;

}  // namespace

std::span<const std::uint8_t> ByteReader::ReadBytes(std::size_t size) {
  if (size > rest_.size()) {
    ok_ = false;
    rest_ = {};
    return {};
  }
  const std::span<const std::uint8_t> result = rest_.first(size);
  rest_ = rest_.subspan(size);
  return result;
}

base::SocketAddress ByteReader::ReadAddress(base::AddressFamily family) {
  base::SocketAddress result;
  result.family = family;
  const std::span<const std::uint8_t> bytes =
      ReadBytes(family == base::AddressFamily::kIpv4 ? kIpv4Size : kIpv6Size);
  std::copy(bytes.begin(), bytes.end(), result.address.begin());
  return result;
}

base::SocketAddress ByteReader::ReadSocketAddress() {
  const auto family = static_cast<base::AddressFamily>(ReadUint8());
  if (family != base::AddressFamily::kIpv4 && family != base::AddressFamily::kIpv6) {
    ok_ = false;
    return {};
  }
  base::SocketAddress result = ReadAddress(family);
  result.port = ReadUint16();
  return result;
}

std::uint64_t ByteReader::ReadNumber(std::size_t size) {
  std::uint64_t number = 0;
  for (const std::uint8_t byte : ReadBytes(size)) {
    number = (number << kBitsPerByte) | byte;
  }
  return number;
}

}  // namespace gaugevalve::wire
