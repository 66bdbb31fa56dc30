#include "gaugevalve/wire/tlv_reader.h"

namespace gaugevalve::wire {
namespace {

constexpr unsigned kBitsPerByte = 8;

}  // namespace

std::optional<Tlv> TlvReader::Next() {
  if (rest_.size() < kTlvPrefixSize) {
    return std::nullopt;
  }
  const std::size_t length = (std::size_t{rest_[1]} << kBitsPerByte) | rest_[2];
  if (length > rest_.size() - kTlvPrefixSize) {
    return std::nullopt;
  }
  const Tlv field{rest_[0], rest_.subspan(kTlvPrefixSize, length)};
  rest_ = rest_.subspan(kTlvPrefixSize + length);
  return field;
}

}  // namespace gaugevalve::wire
