// How a node sends messages to other nodes: the narrow interface over nng and the emulator.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/transport/envelope.h"

namespace gaugevalve::transport {

// What became of a message given to Send(). Only kQueued messages may arrive, and even these may be
// lost: the protocols above tolerate loss, duplication and reordering.
enum class SendResult : std::uint8_t {
  kQueued,
  kQueueFull,   // the destination is slow or away and its queue is full
  kOverBudget,  // the node's byte budget is spent
  kTooLarge,    // longer than the transport's largest message
  kFailed,      // no socket could be had
};

// Which queue to the destination a message uses.
enum class TrafficClass : std::uint8_t {
  kControl,  // small messages; they never wait behind bulk
  kBulk,     // parts of bodies, kilobytes each, of which many may be under way
};

// Counts of one message kind. Bytes are what the program hands to or gets from TCP: the envelope
// and nng's 8 bytes of length. See EstimatedNetworkBytes() for headers.
struct KindCounters {
  std::uint64_t sent_messages = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received_messages = 0;
  std::uint64_t received_bytes = 0;
  std::uint64_t dropped_queue_full = 0;
  std::uint64_t dropped_over_budget = 0;
  std::uint64_t dropped_too_large = 0;
  std::uint64_t dropped_failed = 0;
  std::uint64_t received_without_receiver = 0;  // kinds this node doesn't serve
};

// What a transport has done since it was made.
struct TransportCounters {
  std::array<KindCounters, kMessageKindSlots> by_kind{};  // index = MessageKind
  std::uint64_t malformed_messages = 0;
  std::uint64_t connections_opened = 0;  // sockets dialled
  std::uint64_t connections_closed = 0;  // for idleness or to make room

  KindCounters& Of(MessageKind kind) { return by_kind.at(static_cast<std::size_t>(kind)); }
  const KindCounters& Of(MessageKind kind) const {
    return by_kind.at(static_cast<std::size_t>(kind));
  }
};

// Returns the bytes that `messages` with `bytes` in all take on a network. Each message is counted
// as one segment of its own with 52 bytes of IPv4 and TCP headers (with timestamps), and one
// acknowledgement of 52 bytes back; connection set-up isn't included.
std::uint64_t EstimatedNetworkBytes(std::uint64_t messages, std::uint64_t bytes);

// Sends and receives messages between nodes. Not thread-safe: it belongs to one task, and calls its
// receivers from that task's loop.
class PeerTransport {
 public:
  // Called with each message of a kind; the envelope is valid during the call only.
  using Receiver = std::function<void(const Envelope&)>;

  virtual ~PeerTransport() = default;

  // Sends a message without waiting. The transport adds the sender's identity. Messages of
  // different classes may overtake each other.
  virtual SendResult Send(const base::SocketAddress& destination, MessageKind kind,
                          std::string payload, TrafficClass traffic = TrafficClass::kControl) = 0;

  // Sets who gets messages of `kind`; an empty one takes the receiver away.
  virtual void SetReceiver(MessageKind kind, Receiver receiver) = 0;

  // Sets the incarnation that later messages carry (it grows when a suspicion is refuted).
  virtual void SetIncarnation(base::Incarnation incarnation) = 0;

  // Returns who this node says it is; the control address has the port it listens on.
  virtual const SenderIdentity& Identity() const = 0;

  virtual const TransportCounters& Counters() const = 0;
};

}  // namespace gaugevalve::transport
