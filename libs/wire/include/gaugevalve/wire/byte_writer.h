// Writes big-endian numbers and addresses into a caller's buffer.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

#include "gaugevalve/base/socket_address.h"

namespace gaugevalve::wire {

// A write past the buffer's end is a mistake of the program, as the sizes are known beforehand: it
// throws std::length_error and writes nothing.
class ByteWriter {
 public:
  explicit ByteWriter(std::span<std::uint8_t> buffer) : buffer_(buffer) {}

  void WriteUint8(std::uint8_t number) { WriteNumber(number, 1); }
  void WriteUint16(std::uint16_t number) { WriteNumber(number, 2); }
  void WriteUint32(std::uint32_t number) { WriteNumber(number, 4); }
  void WriteUint64(std::uint64_t number) { WriteNumber(number, 8); }
  void WriteBytes(std::span<const std::uint8_t> bytes);

  // Writes the address without its port.
  void WriteAddress(const base::SocketAddress& address);

  // Writes a family byte (4 or 6), the address and the port.
  void WriteSocketAddress(const base::SocketAddress& address);

  // Overwrites the two bytes at `position`, which must have been written.
  void PatchUint16(std::size_t position, std::uint16_t number);

  // Returns how many bytes have been written.
  std::size_t Size() const { return size_; }

 private:
  std::uint8_t* Claim(std::size_t size);
  void WriteNumber(std::uint64_t number, std::size_t size);

  std::span<std::uint8_t> buffer_;
  std::size_t size_ = 0;
};

}  // namespace gaugevalve::wire
