// What makes two datagrams of a datagram service one flow.
#pragma once

#include <cstdint>
#include <utility>

#include "gaugevalve/base/socket_address.h"

namespace gaugevalve::wire {

// Source address and port, virtual address and port.
struct FlowKey {
  base::SocketAddress source;
  base::SocketAddress destination;

  // Returns the hash that chooses the bucket: the same on every node and in every release.
  std::uint64_t Hash() const;

  friend bool operator==(const FlowKey&, const FlowKey&) = default;

  template <class HashState>
  friend HashState AbslHashValue(HashState state, const FlowKey& key) {
    return HashState::combine(std::move(state), key.source, key.destination);
  }
};

}  // namespace gaugevalve::wire
