#include "gaugevalve/connection_id/invariant_header.h"

namespace gaugevalve::connection_id {
namespace {

constexpr std::uint8_t kLongFormBit = 0x80;
constexpr std::uint8_t kPacketTypeMask = 0x30;  // version 1, long header; 0 is Initial
constexpr std::size_t kVersionOffset = 1;
constexpr std::size_t kVersionLength = 4;

// Takes an ID and its length octet off the front of `rest`.
std::optional<ConnectionId> TakeLengthPrefixed(std::span<const std::uint8_t>& rest) {
  if (rest.empty() || rest.size() < 1 + std::size_t{rest[0]}) {
    return std::nullopt;
  }
  const std::size_t length = rest[0];
  const auto id = ConnectionId::FromBytes(rest.subspan(1, length));
  rest = rest.subspan(1 + length);
  return id;
}

std::optional<InvariantHeader> ParseLong(std::span<const std::uint8_t> datagram) {
  if (datagram.size() < kVersionOffset + kVersionLength) {
    return std::nullopt;
  }
  InvariantHeader header;
  header.is_long = true;
  for (const std::uint8_t byte : datagram.subspan(kVersionOffset, kVersionLength)) {
    header.version = (header.version << 8) | byte;
  }
  auto rest = datagram.subspan(kVersionOffset + kVersionLength);
  const auto destination = TakeLengthPrefixed(rest);
  if (!destination) {
    return std::nullopt;
  }
  const auto source = TakeLengthPrefixed(rest);
  if (!source) {
    return std::nullopt;
  }
  header.destination = *destination;
  header.source = *source;
  header.is_initial = header.version == kQuicVersion1 && (datagram[0] & kPacketTypeMask) == 0;
  return header;
}

}  // namespace

std::optional<InvariantHeader> ParseInvariantHeader(std::span<const std::uint8_t> datagram,
                                                    std::size_t short_id_length) {
  if (datagram.empty()) {
    return std::nullopt;
  }
  if ((datagram[0] & kLongFormBit) != 0) {
    return ParseLong(datagram);
  }
  if (datagram.size() < 1 + short_id_length) {
    return std::nullopt;
  }
  const auto destination = ConnectionId::FromBytes(datagram.subspan(1, short_id_length));
  if (!destination) {
    return std::nullopt;
  }
  InvariantHeader header;
  header.destination = *destination;
  return header;
}

}  // namespace gaugevalve::connection_id
