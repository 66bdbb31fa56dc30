#include "gaugevalve/wire/flow_key.h"

#include <array>

#include "gaugevalve/base/hash.h"
#include "gaugevalve/wire/byte_writer.h"

namespace gaugevalve::wire {
namespace {

constexpr std::size_t kLargestKeySize = 2 * (1 + 16 + 2);

}  // namespace

std::uint64_t FlowKey::Hash() const {
  std::array<std::uint8_t, kLargestKeySize> bytes;
  ByteWriter writer(bytes);
  writer.WriteSocketAddress(source);
  writer.WriteSocketAddress(destination);
  return base::HashBytes(std::span(bytes).first(writer.Size()));
}

}  // namespace gaugevalve::wire
