// Stable 64-bit hashing (xxHash XXH3): the same value on every node and in every release.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace gaugevalve::base {

// Returns the XXH3 hash of the bytes under `seed`.
std::uint64_t HashBytes(std::span<const std::uint8_t> bytes, std::uint64_t seed = 0);

// Returns the XXH3 hash of the text under `seed`.
std::uint64_t HashText(std::string_view text, std::uint64_t seed = 0);

// Returns a hash of two numbers in this order, as in rendezvous weights.
std::uint64_t HashPair(std::uint64_t first, std::uint64_t second);

}  // namespace gaugevalve::base
