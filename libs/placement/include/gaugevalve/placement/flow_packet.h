/// @file
/// The header fields of a flow's packet that the placement cores use.
#pragma once

#include <cstdint>

#include "gaugevalve/base/socket_address.h"

namespace gaugevalve::placement {

/// Identifies a flow by its client's address and the virtual address.
struct FlowKey {
  base::SocketAddress client;
  base::SocketAddress destination;

  friend bool operator==(const FlowKey&, const FlowKey&) = default;

  template <class HashState>
  friend HashState AbslHashValue(HashState state, const FlowKey& key) {
    return HashState::combine(std::move(state), key.client, key.destination);
  }
};

/// A packet in either direction, without its payload, which the cores never read.
struct FlowPacket {
  FlowKey flow;
  bool is_opening = false;         ///< SYN without ACK
  bool is_acknowledging = false;   ///< ACK
  bool is_synchronizing = false;   ///< SYN, with or without ACK
  bool is_closing = false;         ///< FIN
  bool is_reset = false;           ///< RST
  bool is_bounced = false;         ///< returned by an endpoint that doesn't accept it
  std::uint32_t sequence = 0;      ///< sequence number of the packet's first byte
  std::uint32_t acknowledged = 0;  ///< acknowledgement number: the next byte the sender expects
  std::uint16_t data_size = 0;     ///< payload size in bytes
};

}  // namespace gaugevalve::placement
