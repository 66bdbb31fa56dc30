// Reads big-endian numbers and addresses from bytes that may end too early.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

#include "gaugevalve/base/socket_address.h"

namespace gaugevalve::wire {

// Once a read runs past the end, it and all later ones return zeros and Ok() is false: the caller
// reads all it wants and asks once.
class ByteReader {
 public:
  explicit ByteReader(std::span<const std::uint8_t> bytes) : rest_(bytes) {}

  std::uint8_t ReadUint8() { return static_cast<std::uint8_t>(ReadNumber(1)); }
  std::uint16_t ReadUint16() { return static_cast<std::uint16_t>(ReadNumber(2)); }
  std::uint32_t ReadUint32() { return static_cast<std::uint32_t>(ReadNumber(4)); }
  std::uint64_t ReadUint64() { return ReadNumber(8); }

  // Returns the next `size` bytes, uncopied; none when there are fewer.
  std::span<const std::uint8_t> ReadBytes(std::size_t size);

  // Reads an address of this family, without its port.
  base::SocketAddress ReadAddress(base::AddressFamily family);

  // Reads a family byte (4 or 6), the address and the port. Ok() is false for other families.
  base::SocketAddress ReadSocketAddress();

  // Tells whether every read so far was within the bytes.
  bool Ok() const { return ok_; }

  // Returns what has not been read yet.
  std::span<const std::uint8_t> Rest() const { return rest_; }

 private:
  std::uint64_t ReadNumber(std::size_t size);

  std::span<const std::uint8_t> rest_;
  bool ok_ = true;
};

}  // namespace gaugevalve::wire
