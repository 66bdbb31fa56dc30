#include "datagram_service.h"

#include <algorithm>
#include <string>
#include <system_error>
#include <utility>
#include <variant>

#include "gaugevalve/wire/flow_key.h"

namespace gaugevalve::agent {
namespace {

constexpr std::size_t kAnswerBatchSize = 16;

}  // namespace

std::string_view ToString(EndpointFailure failure) {
  switch (failure) {
    case EndpointFailure::kNoSocket:
      return "no_socket";
    case EndpointFailure::kNotSent:
      return "not_sent";
    case EndpointFailure::kOversizeAnswer:
      return "oversize_answer";
  }
  return "unknown";
}

DatagramService::DatagramService(event_base* loop, AgentOutput& output,
                                 const base::SocketAddress& endpoint,
                                 const flow::AgentIdentity& identity,
                                 const flow::FlowCoreSettings& settings,
                                 prometheus::Registry& registry)
    : loop_(loop),
      output_(&output),
      endpoint_(endpoint),
      core_(identity, settings),
      sockets_(settings.table.capacity),
      answers_(kAnswerBatchSize),
      opened_(
          daemon::MakeCounter(registry, "gaugevalve_agent_flows_opened_total", "Flows opened.")),
      relayed_(daemon::MakeCounter(registry, "gaugevalve_agent_datagrams_relayed_total",
                                   "Datagrams given to the endpoint.")),
      dropped_(registry, "gaugevalve_agent_datagrams_dropped_total",
               "Datagrams that were neither relayed nor passed on, by reason.",
               daemon::ReasonNames<flow::DropReason>(flow::kDropReasonCount)),
      endpoint_failures_(registry, "gaugevalve_agent_endpoint_failures_total",
                         "Datagrams lost between the agent and its endpoint, by reason.",
                         daemon::ReasonNames<EndpointFailure>(kEndpointFailureCount)),
      open_flows_(&prometheus::BuildGauge()
                       .Name("gaugevalve_agent_open_flows")
                       .Help("Flows that are open now.")
                       .Register(registry)
                       .Add({})) {}

void DatagramService::SetView(const control::ServiceView& service, base::TimePoint confirmed_at) {
  core_.UpdateTable(*service.table, confirmed_at);
}

void DatagramService::SetEndpoint(const settings::EndpointSettings& endpoint) {
  core_.SetLimits({{endpoint.connections, endpoint.idle_timeout}, endpoint.new_flows_per_source});
  sockets_.resize(std::max<std::size_t>(sockets_.size(), endpoint.connections));
}

void DatagramService::HandleDatagram(const wire::ProxyDatagram& datagram,
                                     wire::ForwardingHeader& header, base::TimePoint now) {
  const wire::FlowKey key{datagram.source, datagram.destination};
  const flow::FlowAction action = core_.Decide(key, header, now);
  if (const auto* const relay = std::get_if<flow::Relay>(&action)) {
    RelayToEndpoint(*relay, datagram);
  } else if (const auto* const pass_on = std::get_if<flow::PassOn>(&action)) {
    output_->PassOn(pass_on->next_hop, datagram, header);
  } else {
    dropped_.Add(std::get<flow::DropReason>(action));
  }
}

void DatagramService::HandleTick(base::TimePoint now) {
  for (const flow::FlowId flow : core_.Tick(now)) {
    sockets_[flow.value()].reset();
  }
}

void DatagramService::PublishCounters() {
  opened_.Publish();
  relayed_.Publish();
  dropped_.Publish();
  endpoint_failures_.Publish();
  open_flows_->Set(static_cast<double>(core_.Flows().Size()));
}

void DatagramService::RelayToEndpoint(const flow::Relay& relay,
                                      const wire::ProxyDatagram& datagram) {
  if (relay.is_new && !OpenSocket(relay.flow)) {
    endpoint_failures_.Add(EndpointFailure::kNoSocket);
    core_.Close(relay.flow);
    return;
  }
  opened_.Add(relay.is_new ? 1 : 0);
  if (sockets_[relay.flow.value()]->socket.Send(datagram.payload)) {
    relayed_.Add();
  } else {
    endpoint_failures_.Add(EndpointFailure::kNotSent);
  }
}

bool DatagramService::OpenSocket(flow::FlowId flow) {
  try {
    tasks::UdpSocket socket = tasks::UdpSocket::Connect(endpoint_);
    tasks::Watch readable =
        tasks::Watch::Readable(loop_, socket.Descriptor(), [this, flow] { RelayAnswers(flow); });
    sockets_[flow.value()].emplace(EndpointSocket{std::move(socket), std::move(readable)});
    return true;
  } catch (const std::system_error&) {  // no file descriptors left; the caller counts the failure
    return false;
  }
}

void DatagramService::RelayAnswers(flow::FlowId flow) {
  const wire::FlowKey& key = core_.Flows().Key(flow);
  const std::size_t count = answers_.Receive(sockets_[flow.value()]->socket.Descriptor());
  for (std::size_t index = 0; index < count; ++index) {
    if (answers_.IsTruncated(index)) {
      endpoint_failures_.Add(EndpointFailure::kOversizeAnswer);
      continue;
    }
    output_->SendAnswer(key.destination, key.source, answers_.Datagram(index));
  }
  output_->Flush();
  if (count > 0) {
    core_.NoteAnswer(flow, clock_.Now());
  }
}

}  // namespace gaugevalve::agent
