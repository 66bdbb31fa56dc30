/// @file
/// Hashes of flows and addresses that are the same on every node and in every release.
#pragma once

#include <cstdint>

#include "gaugevalve/base/hash.h"
#include "gaugevalve/placement/flow_packet.h"

namespace gaugevalve::placement {

inline std::uint64_t AddressHash(const base::SocketAddress& address) {
  return base::HashBytes(address.address, address.port);
}

inline std::uint64_t FlowHash(const FlowKey& flow) {
  return base::HashPair(AddressHash(flow.client), AddressHash(flow.destination));
}

/// Returns whether routine decisions about this flow are logged. All nodes log the same flows.
inline bool IsSampled(const FlowKey& flow) {
  constexpr std::uint64_t kSamplingInterval = 64;
  return FlowHash(flow) % kSamplingInterval == 0;
}

}  // namespace gaugevalve::placement
