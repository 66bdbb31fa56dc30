// Writes big-endian numbers and addresses into a caller's buffer.
#pragma once

#include <endian.h>

#include <cstddef>
#include <cstdint>
#include <cstring>
#include <span>
#include <stdexcept>

#include "gaugevalve/base/socket_address.h"

namespace gaugevalve::wire {

// A write past the buffer's end is a mistake of the program, as the sizes are known beforehand: it
// throws std::length_error and writes nothing. Inline, as it is most of the data path's own work.
class ByteWriter {
 public:
  explicit ByteWriter(std::span<std::uint8_t> buffer) : buffer_(buffer) {}

  void WriteUint8(std::uint8_t number) { WriteRaw(number); }
  void WriteUint16(std::uint16_t number) { WriteRaw(htobe16(number)); }
  void WriteUint32(std::uint32_t number) { WriteRaw(htobe32(number)); }
  void WriteUint64(std::uint64_t number) { WriteRaw(htobe64(number)); }

  void WriteBytes(std::span<const std::uint8_t> bytes) {
    std::uint8_t* const place = Claim(bytes.size());
    if (!bytes.empty()) {
      std::memcpy(place, bytes.data(), bytes.size());
    }
  }

  // Writes the address without its port.
  void WriteAddress(const base::SocketAddress& address) {
    constexpr std::size_t kIpv4Size = 4;
    if (address.family == base::AddressFamily::kIpv4) {
      std::memcpy(Claim(kIpv4Size), address.address.data(), kIpv4Size);
    } else {
      std::memcpy(Claim(address.address.size()), address.address.data(), address.address.size());
    }
  }

  // Writes a family byte (4 or 6), the address and the port.
  void WriteSocketAddress(const base::SocketAddress& address) {
    WriteUint8(static_cast<std::uint8_t>(address.family));
    WriteAddress(address);
    WriteUint16(address.port);
  }

  // Overwrites the two bytes at `position`, which must have been written.
  void PatchUint16(std::size_t position, std::uint16_t number) {
    const std::uint16_t raw = htobe16(number);
    std::memcpy(buffer_.data() + position, &raw, sizeof(raw));
  }

  // Returns how many bytes have been written.
  std::size_t Size() const { return size_; }

 private:
  std::uint8_t* Claim(std::size_t size) {
    if (size > buffer_.size() - size_) {
      throw std::length_error("header buffer is too small");
    }
    std::uint8_t* const place = buffer_.data() + size_;
    size_ += size;
    return place;
  }

  template <class Number>
  void WriteRaw(Number number) {
    std::memcpy(Claim(sizeof(number)), &number, sizeof(number));
  }

  std::span<std::uint8_t> buffer_;
  std::size_t size_ = 0;
};

}  // namespace gaugevalve::wire
