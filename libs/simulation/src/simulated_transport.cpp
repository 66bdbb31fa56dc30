#include "gaugevalve/simulation/simulated_transport.h"

#include <optional>
#include <utility>

namespace gaugevalve::simulation {
namespace {

constexpr std::size_t kFramingBytes = 8;  // nng's length before each message
// One-way trips before the first message of a connection arrives: SYN, SYN+ACK, the dialler's nng
// header, the listener's, the message.
constexpr int kNewConnectionTrips = 5;

}  // namespace

SimulatedTransport::SimulatedTransport(NodeContext& context,
                                       const transport::SenderIdentity& identity, Channel channel)
    : context_(context), identity_(identity), channel_(channel) {
  identity_.control_address = context.Address();
}

void SimulatedTransport::OnMessage(const Message& message) {
  const std::optional<transport::Envelope> envelope = transport::DecodeEnvelope(message.bytes);
  if (!envelope) {
    ++counters_.malformed_messages;
    return;
  }
  transport::KindCounters& counters = counters_.Of(envelope->kind);
  ++counters.received_messages;
  counters.received_bytes += message.bytes.size() + kFramingBytes;
  const Receiver& receiver = receivers_.at(static_cast<std::size_t>(envelope->kind));
  if (!receiver) {
    ++counters.received_without_receiver;
    return;
  }
  receiver(*envelope);
}

transport::SendResult SimulatedTransport::Send(const base::SocketAddress& destination,
                                               transport::MessageKind kind, std::string payload,
                                               transport::TrafficClass /*traffic*/) {
  transport::KindCounters& counters = counters_.Of(kind);
  std::string bytes = transport::EncodeEnvelope({identity_, kind, std::move(payload)});
  if (bytes.size() > kMaximumMessageBytes) {
    ++counters.dropped_too_large;
    return transport::SendResult::kTooLarge;
  }
  ++counters.sent_messages;
  counters.sent_bytes += bytes.size() + kFramingBytes;
  const int trips = TouchConnection(destination) ? kNewConnectionTrips : 1;
  context_.Send(destination, channel_, std::move(bytes), trips);
  return transport::SendResult::kQueued;
}

void SimulatedTransport::SetReceiver(transport::MessageKind kind, Receiver receiver) {
  receivers_.at(static_cast<std::size_t>(kind)) = std::move(receiver);
}

void SimulatedTransport::SetIncarnation(base::Incarnation incarnation) {
  identity_.incarnation = incarnation;
}

bool SimulatedTransport::TouchConnection(const base::SocketAddress& destination) {
  const auto found = by_destination_.find(destination);
  if (found != by_destination_.end()) {
    connections_.splice(connections_.begin(), connections_, found->second);
    return false;
  }
  if (connections_.size() >= kMaximumConnections) {
    by_destination_.erase(connections_.back());
    connections_.pop_back();
    ++counters_.connections_closed;
  }
  connections_.push_front(destination);
  by_destination_[destination] = connections_.begin();
  ++counters_.connections_opened;
  return true;
}

}  // namespace gaugevalve::simulation
