/// @file
/// What the placement cores need to know of one packet of a flow.
#pragma once

#include <cstdint>

#include "gaugevalve/base/socket_address.h"

namespace gaugevalve::placement {

/// A flow: the client's end and the virtual address that it called.
struct FlowKey {
  base::SocketAddress client;
  base::SocketAddress destination;

  friend bool operator==(const FlowKey&, const FlowKey&) = default;

  template <class HashState>
  friend HashState AbslHashValue(HashState state, const FlowKey& key) {
    return HashState::combine(std::move(state), key.client, key.destination);
  }
};

/// A packet in either direction, without its data. The cores never see the bytes inside a flow.
struct FlowPacket {
  FlowKey flow;
  bool is_opening = false;         ///< SYN without ACK
  bool is_acknowledging = false;   ///< ACK
  bool is_synchronizing = false;   ///< SYN, with or without ACK
  bool is_closing = false;         ///< FIN
  bool is_reset = false;           ///< RST
  bool is_bounced = false;         ///< returned by an endpoint that doesn't take it
  std::uint32_t sequence = 0;      ///< of the sender's first byte
  std::uint32_t acknowledged = 0;  ///< the sender expects this byte next
  std::uint16_t data_size = 0;     ///< bytes
};

}  // namespace gaugevalve::placement
