/// @file
/// Numbers in datagrams of a fixed layout, the lowest byte first.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

namespace gaugevalve::base {

/// Writes a number; the bytes must be there.
template <class Number>
void WriteNumber(std::span<std::uint8_t> bytes, std::size_t offset, Number number) {
  constexpr unsigned kBitsPerByte = 8;
  for (std::size_t index = 0; index < sizeof(Number); ++index) {
    bytes[offset + index] = static_cast<std::uint8_t>(number >> (kBitsPerByte * index));
  }
}

/// Returns a number; the bytes must be there.
template <class Number>
Number ReadNumber(std::span<const std::uint8_t> bytes, std::size_t offset) {
  constexpr unsigned kBitsPerByte = 8;
  Number number = 0;
  for (std::size_t index = 0; index < sizeof(Number); ++index) {
    number = static_cast<Number>(number | static_cast<Number>(bytes[offset + index])
                                              << (kBitsPerByte * index));
  }
  return number;
}

}  // namespace gaugevalve::base
