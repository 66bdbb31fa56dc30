// The bytes of a drawing sheet, which a caller can check without having it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace gaugevalve::standins {

// Returns `length` bytes of drawing `number` from `offset` on. Bytes of other drawings or offsets
// differ, so an answer that was cut, shifted or swapped is noticed.
std::string DrawingBytes(std::uint64_t number, std::uint64_t offset, std::size_t length);

// Returns the offset of the first byte that isn't drawing `number`'s; nothing when all are right.
std::optional<std::uint64_t> FindDrawingMismatch(std::uint64_t number, std::uint64_t offset,
                                                 std::span<const std::uint8_t> bytes);

}  // namespace gaugevalve::standins
