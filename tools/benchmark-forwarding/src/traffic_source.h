// Sends datagrams of many flows as the fabric does, as fast as it can.
#pragma once

#include <atomic>
#include <cstdint>

#include "gaugevalve/base/socket_address.h"

namespace gaugevalve::benchmark {

// What is sent.
struct Traffic {
  base::SocketAddress virtual_address;
  std::uint32_t flows = 0;       // distinct sources, one datagram each in turn
  std::size_t payload_size = 0;  // bytes behind the PROXY header
};

// Sends until `stop` is set. Starts at flow `first_flow`, so that several sources differ.
void SendTraffic(const Traffic& traffic, const base::SocketAddress& destination,
                 std::uint32_t first_flow, const std::atomic<bool>& stop);

}  // namespace gaugevalve::benchmark
