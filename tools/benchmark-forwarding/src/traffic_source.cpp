#include "traffic_source.h"

#include <vector>

#include "gaugevalve/tasks/udp_batch.h"
#include "gaugevalve/tasks/udp_socket.h"
#include "gaugevalve/wire/proxy_datagram.h"

namespace gaugevalve::benchmark {
namespace {

constexpr std::size_t kBatchSize = 64;
constexpr std::uint32_t kSourceNetwork = 0x0a000000;  // 10.0.0.0, in PROXY headers only
constexpr std::uint32_t kPortsPerSource = 50'000;
constexpr std::uint16_t kFirstPort = 10'000;

base::SocketAddress SourceOf(std::uint32_t flow) {
  const auto port = static_cast<std::uint16_t>(kFirstPort + flow % kPortsPerSource);
  return base::SocketAddress::Ipv4(kSourceNetwork + flow / kPortsPerSource, port);
}

}  // namespace

void SendTraffic(const Traffic& traffic, const base::SocketAddress& destination,
                 std::uint32_t first_flow, const std::atomic<bool>& stop) {
  const tasks::UdpSocket socket =
      tasks::UdpSocket::Bind(base::SocketAddress::Ipv4(INADDR_LOOPBACK, 0));
  const std::vector<std::uint8_t> payload(traffic.payload_size, 'x');
  tasks::UdpSendBatch batch(kBatchSize);
  std::uint32_t flow = first_flow;
  while (!stop.load(std::memory_order_relaxed)) {
    while (!batch.IsFull()) {
      const std::size_t size =
          wire::EncodeProxyHeader(batch.NextHeader(), SourceOf(flow), traffic.virtual_address);
      batch.Append(destination, size, payload);
      flow = (flow + 1) % traffic.flows;
    }
    batch.Flush(socket.Descriptor());
  }
}

}  // namespace gaugevalve::benchmark
