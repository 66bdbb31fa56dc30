#include "gaugevalve/standins/drawing_pattern.h"

#include "gaugevalve/base/hash.h"

namespace gaugevalve::standins {
namespace {

constexpr std::uint64_t kBlockBytes = 8;

constexpr unsigned kBitsPerByte = 8;

// Gives the bytes of a drawing one after the other; each eight come from one hash.
class DrawingReader {
 public:
  DrawingReader(std::uint64_t number, std::uint64_t offset)
      : number_(number), offset_(offset), block_(BlockAt(offset)) {}

  std::uint8_t Next() {
    if (offset_ % kBlockBytes == 0) {
      block_ = BlockAt(offset_);
    }
    return static_cast<std::uint8_t>(block_ >> (offset_++ % kBlockBytes * kBitsPerByte));
  }

 private:
  std::uint64_t BlockAt(std::uint64_t offset) const {
    return base::HashPair(number_, offset / kBlockBytes);
  }

  std::uint64_t number_;
  std::uint64_t offset_;
  std::uint64_t block_;
};

}  // namespace

std::string DrawingBytes(std::uint64_t number, std::uint64_t offset, std::size_t length) {
  DrawingReader reader(number, offset);
  std::string bytes(length, '\0');
  for (char& byte : bytes) {
    byte = static_cast<char>(reader.Next());
  }
  return bytes;
}

std::optional<std::uint64_t> FindDrawingMismatch(std::uint64_t number, std::uint64_t offset,
                                                 std::span<const std::uint8_t> bytes) {
  DrawingReader reader(number, offset);
  for (std::size_t index = 0; index < bytes.size(); ++index) {
    if (bytes[index] != reader.Next()) {
      return offset + index;
    }
  }
  return std::nullopt;
}

}  // namespace gaugevalve::standins
