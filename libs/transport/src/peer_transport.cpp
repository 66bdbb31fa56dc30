#include "gaugevalve/transport/peer_transport.h"

namespace gaugevalve::transport {

std::uint64_t EstimatedNetworkBytes(std::uint64_t messages, std::uint64_t bytes) {
  constexpr std::uint64_t kHeaderBytes = 52;  // IPv4 20, TCP 20, timestamp option 12
  constexpr std::uint64_t kPacketsPerMessage = 2;
  return bytes + messages * kHeaderBytes * kPacketsPerMessage;
}

}  // namespace gaugevalve::transport
