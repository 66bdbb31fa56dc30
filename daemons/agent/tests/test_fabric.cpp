#include "test_fabric.h"

#include "gaugevalve/wire/proxy_datagram.h"

namespace gaugevalve::agent::testing {
namespace {

base::SocketAddress Loopback() { return base::SocketAddress::Ipv4(0x7f000001, 0); }

}  // namespace

TestFabric::TestFabric(event_base* loop, std::shared_ptr<const connection_id::Codec> codec)
    : callers_(tasks::UdpSocket::Bind(Loopback())),
      egress_(tasks::UdpSocket::Bind(Loopback())),
      router_(std::move(codec)),
      core_({}, &router_),
      callers_readable_(
          tasks::Watch::Readable(loop, callers_.Descriptor(), [this] { FromCallers(); })),
      egress_readable_(
          tasks::Watch::Readable(loop, egress_.Descriptor(), [this] { FromAgents(); })) {}

void TestFabric::FromCallers() {
  const std::size_t count = received_.Receive(callers_.Descriptor());
  tasks::UdpSendBatch batch(64);
  for (std::size_t index = 0; index < count; ++index) {
    const wire::ProxyDatagram datagram{
        received_.Sender(index), CallerAddress(), {}, received_.Datagram(index)};
    wire::ForwardingHeader header;
    const auto decision = core_.Decide(datagram, clock_.Now(), header);
    const auto* forward = std::get_if<forwarding::Forward>(&decision);
    if (forward == nullptr) {
      continue;
    }
    base::SocketAddress next_hop = forward->next_hop;
    const bool is_long = (datagram.payload[0] & 0x80) != 0;
    if (misroute_to && !is_long) {
      header.target = misroute_to->node;
      header.target_incarnation = misroute_to->incarnation;
      next_hop = misroute_to->data_address;
    }
    const std::size_t size = wire::EncodeForwardedHeader(batch.NextHeader(), datagram.source,
                                                         datagram.destination, header);
    batch.Append(next_hop, size, datagram.payload);
  }
  batch.Flush(egress_.Descriptor());
}

void TestFabric::FromAgents() {
  const std::size_t count = received_.Receive(egress_.Descriptor());
  tasks::UdpSendBatch batch(64);
  for (std::size_t index = 0; index < count; ++index) {
    const auto decoded = wire::DecodeProxyDatagram(received_.Datagram(index));
    const auto& datagram = std::get<wire::ProxyDatagram>(decoded);
    if (datagram.source == CallerAddress()) {
      batch.Append(datagram.destination, 0, datagram.payload);
    }
  }
  batch.Flush(callers_.Descriptor());
}

}  // namespace gaugevalve::agent::testing
