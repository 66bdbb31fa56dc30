/// @file
/// Buffer for the packets of requests that are queued at an agent.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "gaugevalve/placement/flow_packet.h"

namespace gaugevalve::placement {

/// A packet as received, with the mark that the endpoint returns if it rejects the packet.
struct BufferedPacket {
  std::uint32_t sequence = 0;  ///< sequence number of its first byte
  std::uint32_t mark = 0;      ///< see AgentDecision::mark
  std::vector<std::uint8_t> bytes;
};

/// Stores the packets of queued flows in sequence order. A retransmission replaces the stored
/// packet. RequestQueue bounds the number of flows. A packet beyond a flow's limit is dropped; its
/// sender retransmits it. Not thread-safe.
class PacketBuffer {
 public:
  /// The number of packets that a client sends before it waits for an acknowledgement.
  static constexpr std::size_t kPacketsPerFlow = 16;

  void Add(const FlowPacket& packet, std::uint32_t mark, std::span<const std::uint8_t> bytes);

  /// Removes and returns a flow's packets.
  std::vector<BufferedPacket> Take(const FlowKey& flow);

  std::size_t FlowCount() const { return m_flows.size(); }

 private:
  absl::flat_hash_map<FlowKey, std::vector<BufferedPacket>> m_flows;
};

}  // namespace gaugevalve::placement
