#include "gaugevalve/wire/byte_writer.h"

#include <algorithm>
#include <stdexcept>

namespace gaugevalve::wire {
namespace {

constexpr std::size_t kIpv4Size = 4;
constexpr unsigned kBitsPerByte = 8;

}  // namespace

void ByteWriter::WriteBytes(std::span<const std::uint8_t> bytes) {
  std::copy(bytes.begin(), bytes.end(), Claim(bytes.size()));
}

void ByteWriter::WriteAddress(const base::SocketAddress& address) {
  const std::span<const std::uint8_t> bytes = address.address;
  WriteBytes(address.family == base::AddressFamily::kIpv4 ? bytes.first(kIpv4Size) : bytes);
}

void ByteWriter::WriteSocketAddress(const base::SocketAddress& address) {
  WriteUint8(static_cast<std::uint8_t>(address.family));
  WriteAddress(address);
  WriteUint16(address.port);
}

void ByteWriter::PatchUint16(std::size_t position, std::uint16_t number) {
  buffer_[position] = static_cast<std::uint8_t>(number >> kBitsPerByte);
  buffer_[position + 1] = static_cast<std::uint8_t>(number);
}

std::uint8_t* ByteWriter::Claim(std::size_t size) {
  if (size > buffer_.size() - size_) {
    throw std::length_error("header buffer is too small");
  }
  std::uint8_t* const place = buffer_.data() + size_;
  size_ += size;
  return place;
}

void ByteWriter::WriteNumber(std::uint64_t number, std::size_t size) {
  std::uint8_t* const place = Claim(size);
  for (std::size_t index = size; index > 0; --index) {
    place[index - 1] = static_cast<std::uint8_t>(number);
    number >>= kBitsPerByte;
  }
}

}  // namespace gaugevalve::wire
