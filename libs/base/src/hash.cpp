#include "gaugevalve/base/hash.h"

#include <xxhash.h>

#include <array>

#include "gaugevalve/base/identifiers.h"

namespace gaugevalve::base {

std::uint64_t HashBytes(std::span<const std::uint8_t> bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t HashText(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t HashPair(std::uint64_t first, std::uint64_t second) {
  const std::array<std::uint64_t, 2> pair{first, second};
  return XXH3_64bits_withSeed(pair.data(), sizeof(pair), 0);
}

NodeId MakeNodeId(std::string_view node_name) { return NodeId(HashText(node_name)); }

ServiceId MakeServiceId(std::string_view service_name) {
  return ServiceId(static_cast<std::uint32_t>(HashText(service_name)));
}

}  // namespace gaugevalve::base
