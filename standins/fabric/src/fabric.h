// The network between callers, balancers and agents.
#pragma once

#include <memory>
#include <vector>

#include "balancer_set.h"
#include "delay_line.h"
#include "fabric_metrics.h"
#include "gaugevalve/standins/address_flags.h"
#include "gaugevalve/tasks/udp_batch.h"
#include "gaugevalve/tasks/udp_socket.h"
#include "gaugevalve/tasks/watch.h"
#include "impairment.h"

namespace gaugevalve::standins {

// Where the fabric listens and whom it knows.
struct FabricSettings {
  std::vector<NamedAddress> virtual_addresses;  // named for their services
  base::SocketAddress egress;
  std::vector<base::SocketAddress> balancers;
  std::uint64_t seed = 1;
};

// Inbound: a datagram to a virtual address goes to a balancer chosen at random, behind a PROXY
// protocol v2 header with its source and the virtual address. Outbound: an agent sends an answer to
// the egress port behind a header with the virtual address as source and the caller as destination;
// it leaves from the virtual address's socket. Runs on the loop's thread; loop and metrics must
// outlive it. Throws std::system_error when an address can't be bound.
class Fabric {
 public:
  Fabric(event_base* loop, const FabricSettings& settings, FabricMetrics& metrics);

  // Return the addresses bound, with the real ports; virtual ones in the order of the settings.
  std::vector<NamedAddress> VirtualAddresses() const;
  base::SocketAddress Egress() const { return egress_socket_.LocalAddress(); }

  // What a test may change while the fabric runs.
  BalancerSet& Balancers() { return balancers_; }
  Impairment& Inbound() { return inbound_; }
  Impairment& Outbound() { return outbound_; }

 private:
  struct VirtualAddress {
    std::string name;
    tasks::UdpSocket socket;
    base::SocketAddress address;
  };

  void OpenVirtualAddress(event_base* loop, const NamedAddress& settings);
  void ReceiveInbound(const VirtualAddress& virtual_address);
  void ForwardInbound(const VirtualAddress& virtual_address, std::span<const std::uint8_t> payload,
                      const base::SocketAddress& source);
  void ReceiveOutbound();
  void ForwardOutbound(std::span<const std::uint8_t> bytes);
  const VirtualAddress* FindVirtualAddress(const base::SocketAddress& address) const;
  void Carry(const Impairment::Fate& fate, const DatagramInTransit& datagram,
             prometheus::Counter& delivered, prometheus::Counter& lost);
  void Deliver(const DatagramInTransit& datagram);

  FabricMetrics& metrics_;
  BalancerSet balancers_;
  Impairment inbound_;
  Impairment outbound_;
  DelayLine delay_line_;
  tasks::UdpReceiveBatch received_;
  tasks::UdpSendBatch sent_;
  std::vector<std::unique_ptr<VirtualAddress>> virtual_addresses_;
  tasks::UdpSocket egress_socket_;
  std::vector<tasks::Watch> watches_;
};

}  // namespace gaugevalve::standins
