// A datagram on its way from a caller.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "gaugevalve/base/time.h"
#include "gaugevalve/wire/flow_key.h"
#include "hosts.h"

namespace gaugevalve::lab {

// One sending of one datagram.
struct Packet {
  std::uint64_t flow = 0;        // names the caller's flow for as long as it wants one
  std::uint32_t generation = 0;  // grows each time the caller has to open it anew
  std::size_t service = 0;
  wire::FlowKey key;
  bool is_request = false;  // otherwise a keep-alive
  base::Duration service_time{};
  std::uint32_t attempt = 0;
  bool is_late_copy = false;  // came out of a frozen process after the caller sent it again
};

// What became of packets. Called by the data path.
class PacketListener {
 public:
  virtual ~PacketListener() = default;

  // The agent took the datagram; `opened` when it opened a flow for it.
  virtual void OnServed(const Packet& packet, AgentHost& agent, bool opened) = 0;

  // Returns the agent that holds the packet's flow by now. Only the bound asks.
  virtual std::optional<std::size_t> HomeOf(const Packet& packet) = 0;

  // The datagram was lost or dropped on its way.
  virtual void OnLost(const Packet& packet, std::string_view cause) = 0;
};

}  // namespace gaugevalve::lab
