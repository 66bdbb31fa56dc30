#include "gaugevalve/standins/drawing_pattern.h"

#include "gaugevalve/base/hash.h"

namespace gaugevalve::standins {
namespace {

constexpr std::uint64_t kBlockBytes = 8;

// Returns the byte at `offset`: one of the eight of its block's hash.
std::uint8_t DrawingByte(std::uint64_t number, std::uint64_t offset) {
  constexpr unsigned kBitsPerByte = 8;
  const std::uint64_t block = base::HashPair(number, offset / kBlockBytes);
  return static_cast<std::uint8_t>(block >> (offset % kBlockBytes * kBitsPerByte));
}

}  // namespace

std::string DrawingBytes(std::uint64_t number, std::uint64_t offset, std::size_t length) {
  std::string bytes(length, '\0');
  for (std::size_t index = 0; index < length; ++index) {
    bytes[index] = static_cast<char>(DrawingByte(number, offset + index));
  }
  return bytes;
}

std::optional<std::uint64_t> FindDrawingMismatch(std::uint64_t number, std::uint64_t offset,
                                                 std::span<const std::uint8_t> bytes) {
  for (std::size_t index = 0; index < bytes.size(); ++index) {
    if (bytes[index] != DrawingByte(number, offset + index)) {
      return offset + index;
    }
  }
  return std::nullopt;
}

}  // namespace gaugevalve::standins
