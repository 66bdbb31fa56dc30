#include "fabric.h"

#include <array>
#include <utility>
#include <variant>

#include "gaugevalve/wire/proxy_datagram.h"

namespace gaugevalve::standins {
namespace {

constexpr std::size_t kSocketBufferBytes = 4U << 20U;

// Datagrams read from one socket before the others get their turn.
constexpr std::size_t kDatagramsPerTurn = 64;

// Keep the random sequences of the three decisions apart under one seed.
constexpr std::uint64_t kInboundSeedStep = 1;
constexpr std::uint64_t kOutboundSeedStep = 2;

}  // namespace

Fabric::Fabric(event_base* loop, const FabricSettings& settings, FabricMetrics& metrics)
    : metrics_(metrics),
      balancers_(settings.balancers, settings.seed),
      inbound_(settings.seed + kInboundSeedStep),
      outbound_(settings.seed + kOutboundSeedStep),
      delay_line_(loop, [this](const DatagramInTransit& datagram) { Deliver(datagram); }),
      received_(kDatagramsPerTurn),
      sent_(1),
      egress_socket_(tasks::UdpSocket::Bind(settings.egress)) {
  for (const NamedAddress& virtual_address : settings.virtual_addresses) {
    OpenVirtualAddress(loop, virtual_address);
  }
  egress_socket_.RequestBufferSize(kSocketBufferBytes);
  watches_.push_back(
      tasks::Watch::Readable(loop, egress_socket_.Descriptor(), [this] { ReceiveOutbound(); }));
}

std::vector<NamedAddress> Fabric::VirtualAddresses() const {
  std::vector<NamedAddress> addresses;
  for (const auto& virtual_address : virtual_addresses_) {
    addresses.push_back({virtual_address->name, virtual_address->address});
  }
  return addresses;
}

void Fabric::OpenVirtualAddress(event_base* loop, const NamedAddress& settings) {
  tasks::UdpSocket socket = tasks::UdpSocket::Bind(settings.address);
  socket.RequestBufferSize(kSocketBufferBytes);
  const base::SocketAddress address = socket.LocalAddress();
  virtual_addresses_.push_back(
      std::make_unique<VirtualAddress>(VirtualAddress{settings.name, std::move(socket), address}));
  const VirtualAddress& opened = *virtual_addresses_.back();
  watches_.push_back(tasks::Watch::Readable(loop, opened.socket.Descriptor(),
                                            [this, &opened] { ReceiveInbound(opened); }));
}

void Fabric::ReceiveInbound(const VirtualAddress& virtual_address) {
  const std::size_t count = received_.Receive(virtual_address.socket.Descriptor());
  for (std::size_t index = 0; index < count; ++index) {
    metrics_.inbound_received.Increment();
    ForwardInbound(virtual_address, received_.Datagram(index), received_.Sender(index));
  }
}

void Fabric::ForwardInbound(const VirtualAddress& virtual_address,
                            std::span<const std::uint8_t> payload,
                            const base::SocketAddress& source) {
  const std::optional<base::SocketAddress> balancer = balancers_.Choose();
  if (!balancer) {
    metrics_.inbound_no_balancer.Increment();
    return;
  }
  std::array<std::uint8_t, wire::kMaxPlainProxyHeaderSize> header;
  const std::size_t header_size = wire::EncodeProxyHeader(header, source, virtual_address.address);
  DatagramInTransit datagram{egress_socket_.Descriptor(), *balancer, {}};
  datagram.bytes.assign(header.begin(), header.begin() + header_size);
  datagram.bytes.insert(datagram.bytes.end(), payload.begin(), payload.end());
  Carry(inbound_.Decide(), datagram, metrics_.inbound_delivered, metrics_.inbound_lost);
}

void Fabric::ReceiveOutbound() {
  const std::size_t count = received_.Receive(egress_socket_.Descriptor());
  for (std::size_t index = 0; index < count; ++index) {
    metrics_.outbound_received.Increment();
    ForwardOutbound(received_.Datagram(index));
  }
}

void Fabric::ForwardOutbound(std::span<const std::uint8_t> bytes) {
  const auto decoded = wire::DecodeProxyDatagram(bytes);
  const auto* const answer = std::get_if<wire::ProxyDatagram>(&decoded);
  if (answer == nullptr) {
    metrics_.outbound_malformed.Increment();
    return;
  }
  const VirtualAddress* const virtual_address = FindVirtualAddress(answer->source);
  if (virtual_address == nullptr) {
    metrics_.outbound_unknown_source.Increment();
    return;
  }
  const DatagramInTransit datagram{virtual_address->socket.Descriptor(),
                                   answer->destination,
                                   {answer->payload.begin(), answer->payload.end()}};
  Carry(outbound_.Decide(), datagram, metrics_.outbound_delivered, metrics_.outbound_lost);
}

const Fabric::VirtualAddress* Fabric::FindVirtualAddress(const base::SocketAddress& address) const {
  for (const auto& virtual_address : virtual_addresses_) {
    if (virtual_address->address == address) {
      return virtual_address.get();
    }
  }
  return nullptr;
}

void Fabric::Carry(const Impairment::Fate& fate, const DatagramInTransit& datagram,
                   prometheus::Counter& delivered, prometheus::Counter& lost) {
  if (fate.empty()) {
    lost.Increment();
    return;
  }
  for (const base::Duration delay : fate) {
    if (delay == base::Duration::zero()) {
      Deliver(datagram);
      delivered.Increment();
    } else if (delay_line_.Hold(datagram, delay)) {
      delivered.Increment();
    } else {
      lost.Increment();
    }
  }
}

void Fabric::Deliver(const DatagramInTransit& datagram) {
  constexpr std::size_t kNoHeader = 0;
  sent_.Append(datagram.destination, kNoHeader, datagram.bytes);
  sent_.Flush(datagram.descriptor);
}

}  // namespace gaugevalve::standins
