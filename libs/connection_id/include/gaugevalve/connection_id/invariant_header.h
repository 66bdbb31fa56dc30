// The part of a QUIC packet that every version keeps (RFC 8999), which is all a balancer reads.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "gaugevalve/connection_id/connection_id.h"

namespace gaugevalve::connection_id {

// QUIC version 1 (RFC 9000).
inline constexpr std::uint32_t kQuicVersion1 = 1;

// The first packet's header of a datagram.
struct InvariantHeader {
  bool is_long = false;       // long headers carry a version and both IDs
  std::uint32_t version = 0;  // long headers only; 0 is a version negotiation packet
  ConnectionId destination;
  ConnectionId source;  // long headers only

  // True for an Initial packet of version 1: the only kind that may open a connection.
  bool is_initial = false;
};

// Reads the header of a datagram's first packet. A short header doesn't tell the length of its
// destination ID: it is `short_id_length` bytes, which an agent uses for every ID it issues.
// Returns nothing when the datagram is cut short or names an ID longer than 20 bytes.
std::optional<InvariantHeader> ParseInvariantHeader(std::span<const std::uint8_t> datagram,
                                                    std::size_t short_id_length);

}  // namespace gaugevalve::connection_id
