/// @file
/// The packets of requests that wait before an endpoint.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "gaugevalve/placement/flow_packet.h"

namespace gaugevalve::placement {

/// One packet as it came, and what the endpoint would give it back with.
struct BufferedPacket {
  std::uint32_t sequence = 0;  ///< of its first byte
  std::uint32_t mark = 0;      ///< see AgentDecision::mark
  std::vector<std::uint8_t> bytes;
};

/// Keeps the packets of flows that wait, in the order of their data. A copy takes its original's
/// place. RequestQueue bounds the flows; a packet beyond a flow's limit is left to its sender,
/// which sends it again. Not thread-safe.
class PacketBuffer {
 public:
  /// As many as a client sends before it waits for an acknowledgement.
  static constexpr std::size_t kPacketsPerFlow = 16;

  void Add(const FlowPacket& packet, std::uint32_t mark, std::span<const std::uint8_t> bytes);

  /// Takes a flow's packets out.
  std::vector<BufferedPacket> Take(const FlowKey& flow);

  std::size_t FlowCount() const { return m_flows.size(); }

 private:
  absl::flat_hash_map<FlowKey, std::vector<BufferedPacket>> m_flows;
};

}  // namespace gaugevalve::placement
