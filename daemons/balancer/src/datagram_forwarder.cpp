#include "datagram_forwarder.h"

#include <string>
#include <utility>
#include <variant>

namespace gaugevalve::balancer {
namespace {

constexpr std::size_t kBatchSize = 64;

}  // namespace

DatagramForwarder::DatagramForwarder(const flow::SourceLimiterSettings& source_limit,
                                     const forwarding::ConnectionIdRouter* router,
                                     prometheus::Registry& registry)
    : core_(source_limit, router),
      received_(kBatchSize),
      outgoing_(kBatchSize),
      received_count_(daemon::MakeCounter(registry, "gaugevalve_balancer_datagrams_received_total",
                                          "Datagrams received from the fabric.")),
      forwarded_count_(daemon::MakeCounter(registry,
                                           "gaugevalve_balancer_datagrams_forwarded_total",
                                           "Datagrams sent on to agents.")),
      unsent_count_(daemon::MakeCounter(registry, "gaugevalve_balancer_datagrams_unsent_total",
                                        "Datagrams that the system did not take for sending.")),
      malformed_(registry, "gaugevalve_balancer_datagrams_malformed_total",
                 "Datagrams that could not be decoded, by reason.",
                 daemon::ReasonNames<wire::DecodeError>(wire::kDecodeErrorCount)),
      dropped_(registry, "gaugevalve_balancer_datagrams_dropped_total",
               "Well-formed datagrams that were not forwarded, by reason.",
               daemon::ReasonNames<forwarding::DropReason>(forwarding::kDropReasonCount)) {}

void DatagramForwarder::SetView(std::shared_ptr<const control::NodeView> view) {
  core_.SetView(std::move(view));
}

std::size_t DatagramForwarder::ForwardBatch(int descriptor, base::TimePoint now) {
  const std::size_t count = received_.Receive(descriptor);
  std::size_t queued = 0;
  for (std::size_t index = 0; index < count; ++index) {
    queued += Forward(index, now) ? 1 : 0;
  }
  const std::size_t sent = outgoing_.Flush(descriptor);
  received_count_.Add(count);
  forwarded_count_.Add(sent);
  unsent_count_.Add(queued - sent);
  return count;
}

bool DatagramForwarder::Forward(std::size_t index, base::TimePoint now) {
  if (received_.IsTruncated(index)) {
    malformed_.Add(wire::DecodeError::kOversize);
    return false;
  }
  const auto decoded = wire::DecodeProxyDatagram(received_.Datagram(index));
  if (const auto* const error = std::get_if<wire::DecodeError>(&decoded)) {
    malformed_.Add(*error);
    return false;
  }
  const auto& datagram = std::get<wire::ProxyDatagram>(decoded);
  const forwarding::Decision decision = core_.Decide(datagram, now, header_);
  if (const auto* const reason = std::get_if<forwarding::DropReason>(&decision)) {
    dropped_.Add(*reason);
    return false;
  }
  const std::size_t header_size = wire::EncodeForwardedHeader(
      outgoing_.NextHeader(), datagram.source, datagram.destination, header_);
  outgoing_.Append(std::get<forwarding::Forward>(decision).next_hop, header_size, datagram.payload);
  return true;
}

void DatagramForwarder::PublishCounters() {
  received_count_.Publish();
  forwarded_count_.Publish();
  unsent_count_.Publish();
  malformed_.Publish();
  dropped_.Publish();
}

}  // namespace gaugevalve::balancer
