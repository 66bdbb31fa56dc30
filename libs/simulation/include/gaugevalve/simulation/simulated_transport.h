// transport::PeerTransport over the simulated network, for hollow nodes.
#pragma once

#include <array>
#include <cstddef>
#include <list>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "gaugevalve/simulation/simulated_node.h"
#include "gaugevalve/transport/peer_transport.h"

namespace gaugevalve::simulation {

// Encodes real envelopes and hands them to the simulated network. Connections are modelled as far
// as they cost time: the first message to a destination without one takes as long as TCP's and
// nng's handshakes, and the least recently used connection is closed to make room. The owner passes
// incoming messages to OnMessage().
class SimulatedTransport final : public transport::PeerTransport {
 public:
  static constexpr std::size_t kMaximumConnections = 64;
  static constexpr std::size_t kMaximumMessageBytes = std::size_t{1024} * 1024;

  // `context` must outlive the transport; the identity's control address is the context's.
  SimulatedTransport(NodeContext& context, const transport::SenderIdentity& identity,
                     Channel channel = 0);

  // Decodes an incoming message and calls its receiver.
  void OnMessage(const Message& message);

  transport::SendResult Send(
      const base::SocketAddress& destination, transport::MessageKind kind, std::string payload,
      transport::TrafficClass traffic = transport::TrafficClass::kControl) override;
  void SetReceiver(transport::MessageKind kind, Receiver receiver) override;
  void SetIncarnation(base::Incarnation incarnation) override;
  const transport::SenderIdentity& Identity() const override { return identity_; }
  const transport::TransportCounters& Counters() const override { return counters_; }

 private:
  // Marks the destination as used now; returns whether a connection had to be opened.
  bool TouchConnection(const base::SocketAddress& destination);

  using ConnectionList = std::list<base::SocketAddress>;

  NodeContext& context_;
  transport::SenderIdentity identity_;
  Channel channel_;
  transport::TransportCounters counters_;
  std::array<Receiver, transport::kMessageKindSlots> receivers_;
  ConnectionList connections_;  // most recently used first
  absl::flat_hash_map<base::SocketAddress, ConnectionList::iterator> by_destination_;
};

}  // namespace gaugevalve::simulation
