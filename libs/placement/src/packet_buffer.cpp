#include "gaugevalve/placement/packet_buffer.h"

#include <algorithm>
#include <utility>

namespace gaugevalve::placement {

void PacketBuffer::Add(const FlowPacket& packet, std::uint32_t mark,
                       std::span<const std::uint8_t> bytes) {
  std::vector<BufferedPacket>& packets = m_flows[packet.flow];
  BufferedPacket item{packet.sequence, mark, {bytes.begin(), bytes.end()}};
  const auto position =
      std::find_if(packets.begin(), packets.end(), [&](const BufferedPacket& known) {
        return static_cast<std::int32_t>(known.sequence - packet.sequence) >= 0;
      });
  if (position != packets.end() && position->sequence == packet.sequence) {
    *position = std::move(item);
  } else if (packets.size() < kPacketsPerFlow) {
    packets.insert(position, std::move(item));
  }
}

std::vector<BufferedPacket> PacketBuffer::Take(const FlowKey& flow) {
  const auto found = m_flows.find(flow);
  if (found == m_flows.end()) {
    return {};
  }
  std::vector<BufferedPacket> packets = std::move(found->second);
  m_flows.erase(found);
  return packets;
}

}  // namespace gaugevalve::placement
