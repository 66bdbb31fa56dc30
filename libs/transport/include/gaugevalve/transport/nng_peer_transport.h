// PeerTransport over nng's TCP transport, driven by a libevent loop.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>

#include "gaugevalve/base/clock.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/transport/peer_transport.h"

struct event_base;

namespace gaugevalve::transport {

// Thrown when the listening socket can't be had; names the address and nng's reason.
class TransportError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A node's budget for what it sends.
struct ByteBudget {
  double bytes_per_second = 0;
  double burst_bytes = 0;
};

// How an NngPeerTransport behaves. The defaults fit the control traffic of a node.
struct NngTransportOptions {
  // Connections kept, of both classes; the least recently used is closed to make room for another.
  std::size_t maximum_connections = 64;
  // A connection unused for this long is closed.
  base::Duration idle_timeout = std::chrono::seconds(60);
  // Messages of one class that wait for one destination; further ones are dropped and counted.
  int send_queue_messages = 32;
  // Longest message, both ways. A peer that sends a longer one is disconnected.
  std::size_t maximum_message_bytes = std::size_t{1024} * 1024;
  // Limit on what is sent; none when empty.
  std::optional<ByteBudget> budget = std::nullopt;
};

// One listening pull socket, and one dialling push socket for each recent destination and traffic
// class, so that control messages wait for bulk neither in a queue nor in TCP. nng runs its
// own threads for the input and output; receivers are called in the libevent loop only.
class NngPeerTransport final : public PeerTransport {
 public:
  // Listens on `identity.control_address` (port 0: chosen by the system, see Identity()). `base`
  // and `clock` must outlive the transport. Throws TransportError when it can't listen.
  NngPeerTransport(event_base* base, const base::Clock& clock, const SenderIdentity& identity,
                   NngTransportOptions options = {});
  ~NngPeerTransport() override;

  NngPeerTransport(const NngPeerTransport&) = delete;
  NngPeerTransport& operator=(const NngPeerTransport&) = delete;

  SendResult Send(const base::SocketAddress& destination, MessageKind kind, std::string payload,
                  TrafficClass traffic = TrafficClass::kControl) override;
  void SetReceiver(MessageKind kind, Receiver receiver) override;
  void SetIncarnation(base::Incarnation incarnation) override;
  const SenderIdentity& Identity() const override;
  const TransportCounters& Counters() const override;

  // Returns the number of dialling sockets now.
  std::size_t ConnectionCount() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace gaugevalve::transport
