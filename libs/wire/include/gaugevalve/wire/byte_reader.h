// Reads big-endian numbers and addresses from bytes that may end too early.
#pragma once

#include <endian.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <span>

#include "gaugevalve/base/socket_address.h"

namespace gaugevalve::wire {

// Once a read runs past the end, it and all later ones return zeros and Ok() is false: the caller
// reads all it wants and asks once. Inline, as it is most of the data path's own work.
class ByteReader {
 public:
  explicit ByteReader(std::span<const std::uint8_t> bytes) : rest_(bytes) {}

  std::uint8_t ReadUint8() { return ReadRaw<std::uint8_t>(); }
  std::uint16_t ReadUint16() { return be16toh(ReadRaw<std::uint16_t>()); }
  std::uint32_t ReadUint32() { return be32toh(ReadRaw<std::uint32_t>()); }
  std::uint64_t ReadUint64() { return be64toh(ReadRaw<std::uint64_t>()); }

  // Returns the next `size` bytes, uncopied; none when there are fewer.
  std::span<const std::uint8_t> ReadBytes(std::size_t size) {
    if (size > rest_.size()) {
      ok_ = false;
      rest_ = {};
      return {};
    }
    const std::span<const std::uint8_t> result = rest_.first(size);
    rest_ = rest_.subspan(size);
    return result;
  }

  // Reads an address of this family, without its port.
  base::SocketAddress ReadAddress(base::AddressFamily family) {
    constexpr std::size_t kIpv4Size = 4;
    base::SocketAddress result;
    result.family = family;
    const std::span<const std::uint8_t> bytes =
        ReadBytes(family == base::AddressFamily::kIpv4 ? kIpv4Size : result.address.size());
    std::copy(bytes.begin(), bytes.end(), result.address.begin());
    return result;
  }

  // Reads a family byte (4 or 6), the address and the port. Ok() is false for other families.
  base::SocketAddress ReadSocketAddress() {
    const auto family = static_cast<base::AddressFamily>(ReadUint8());
    if (family != base::AddressFamily::kIpv4 && family != base::AddressFamily::kIpv6) {
      ok_ = false;
      return {};
    }
    base::SocketAddress result = ReadAddress(family);
    result.port = ReadUint16();
    return result;
  }

  // Tells whether every read so far was within the bytes.
  bool Ok() const { return ok_; }

  // Returns what has not been read yet.
  std::span<const std::uint8_t> Rest() const { return rest_; }

 private:
  // Returns the next bytes as they are.
  template <class Number>
  Number ReadRaw() {
    Number number = 0;
    const std::span<const std::uint8_t> bytes = ReadBytes(sizeof(number));
    if (!bytes.empty()) {
      std::memcpy(&number, bytes.data(), sizeof(number));
    }
    return number;
  }

  std::span<const std::uint8_t> rest_;
  bool ok_ = true;
};

}  // namespace gaugevalve::wire
