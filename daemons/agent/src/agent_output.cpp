#include "agent_output.h"

#include <string>

namespace gaugevalve::agent {
namespace {

constexpr std::size_t kBatchSize = 64;

}  // namespace

AgentOutput::AgentOutput(int descriptor, const base::SocketAddress& egress_address,
                         prometheus::Registry& registry)
    : descriptor_(descriptor),
      egress_address_(egress_address),
      batch_(kBatchSize),
      answers_(daemon::MakeCounter(registry, "gaugevalve_agent_answers_total",
                                   "Datagrams sent to the fabric's egress for clients.")),
      passed_on_(daemon::MakeCounter(registry, "gaugevalve_agent_datagrams_passed_on_total",
                                     "Datagrams passed on to other agents.")),
      unsent_(daemon::MakeCounter(registry, "gaugevalve_agent_datagrams_unsent_total",
                                  "Datagrams that the system did not take for sending.")) {}

void AgentOutput::SendAnswer(const base::SocketAddress& virtual_address,
                             const base::SocketAddress& client,
                             std::span<const std::uint8_t> payload) {
  answers_.Add();
  Append(egress_address_, wire::EncodeProxyHeader(batch_.NextHeader(), virtual_address, client),
         payload);
}

void AgentOutput::PassOn(const base::SocketAddress& next_hop, const wire::ProxyDatagram& datagram,
                         const wire::ForwardingHeader& header) {
  passed_on_.Add();
  Append(next_hop,
         wire::EncodeForwardedHeader(batch_.NextHeader(), datagram.source, datagram.destination,
                                     header),
         datagram.payload);
}

void AgentOutput::Append(const base::SocketAddress& destination, std::size_t header_size,
                         std::span<const std::uint8_t> payload) {
  batch_.Append(destination, header_size, payload);
  ++queued_count_;
  if (batch_.IsFull()) {
    Flush();
  }
}

void AgentOutput::Flush() {
  if (queued_count_ > 0) {
    unsent_.Add(queued_count_ - batch_.Flush(descriptor_));
    queued_count_ = 0;
  }
}

void AgentOutput::PublishCounters() {
  answers_.Publish();
  passed_on_.Publish();
  unsent_.Publish();
}

}  // namespace gaugevalve::agent
