#include "agent_worker.h"

#include <utility>

namespace gaugevalve::agent {
namespace {

constexpr std::size_t kInboxCapacity = 64;
constexpr std::size_t kBatchSize = 64;
constexpr std::size_t kSocketBufferBytes = std::size_t{4} << 20U;
constexpr base::Duration kTickPeriod = std::chrono::milliseconds(250);
// Batches received per loop iteration. The limit lets answers, messages and timers be processed
// under full load.
constexpr int kBatchesPerWakeUp = 8;

}  // namespace

AgentWorker::AgentWorker(const AgentWorkerSettings& settings, const ModuleFactory& make_module,
                         StatusHandler status_handler, prometheus::Registry& registry)
    : settings_(settings),
      socket_(tasks::UdpSocket::Bind(settings.data_address)),
      received_(kBatchSize),
      output_(socket_.Descriptor(), settings.egress_address, registry),
      status_handler_(std::move(status_handler)),
      received_count_(prometheus::BuildCounter()
                          .Name("gaugevalve_agent_datagrams_received_total")
                          .Help("Datagrams received from balancers and other agents.")
                          .Register(registry)
                          .Add({})),
      malformed_(registry, "gaugevalve_agent_datagrams_malformed_total",
                 "Datagrams that could not be decoded, by reason.",
                 daemon::ReasonNames<wire::DecodeError>(wire::kDecodeErrorCount)),
      task_("data"),
      loop_monitor_(task_.Loop(), "data", registry),
      module_(make_module(task_.Loop(), output_)),
      inbox_(task_.Loop(), kInboxCapacity,
             [this](const AgentMessage& message) { OnMessage(message); }),
      peer_inbox_(task_.Loop(), kInboxCapacity,
                  [this](const PeerMessage& message) {
                    module_->HandlePeerMessage(message.sender, message.payload);
                  }),
      readable_(
          tasks::Watch::Readable(task_.Loop(), socket_.Descriptor(), [this] { OnReadable(); })),
      tick_timer_(task_.Loop(), [this] { OnTick(); }) {
  socket_.RequestBufferSize(kSocketBufferBytes);
  tick_timer_.StartPeriodic(kTickPeriod);
}

void AgentWorker::Stop() {
  task_.Stop();
  task_.Join();
}

void AgentWorker::OnMessage(const AgentMessage& message) {
  if (std::holds_alternative<StartDraining>(message)) {
    module_->StartDraining(clock_.Now());
    return;
  }
  if (const auto* const credentials = std::get_if<quic::CertificateCredentials>(&message)) {
    module_->SetCredentials(*credentials);
    return;
  }
  if (const auto* const report = std::get_if<ContactReport>(&message)) {
    module_->HandleContacts(report->contacts);
    return;
  }
  ApplyView(*std::get<ViewPointer>(message));
}

void AgentWorker::ApplyView(const control::NodeView& view) {
  for (const control::ServiceView& service : view.services) {
    if (service.id == settings_.service && service.table != nullptr) {
      module_->SetView(service, view.confirmed_at);
    }
  }
  const settings::EndpointSettings* const endpoint =
      view.own_service == nullptr ? nullptr : view.own_service->FindEndpoint(settings_.endpoint);
  if (endpoint != nullptr) {
    module_->SetEndpoint(*endpoint);
  }
}

void AgentWorker::OnReadable() {
  const base::TimePoint now = clock_.Now();
  for (int batch = 0; batch < kBatchesPerWakeUp; ++batch) {
    const std::size_t count = received_.Receive(socket_.Descriptor());
    for (std::size_t index = 0; index < count; ++index) {
      HandleDatagram(index, now);
    }
    output_.Flush();
    received_count_.Add(count);
    if (count == 0) {
      break;
    }
  }
}

void AgentWorker::HandleDatagram(std::size_t index, base::TimePoint now) {
  if (received_.IsTruncated(index)) {
    malformed_.Add(wire::DecodeError::kOversize);
    return;
  }
  const auto decoded = wire::DecodeProxyDatagram(received_.Datagram(index));
  if (const auto* const error = std::get_if<wire::DecodeError>(&decoded)) {
    malformed_.Add(*error);
    return;
  }
  const auto& datagram = std::get<wire::ProxyDatagram>(decoded);
  auto header = wire::DecodeForwardingHeader(datagram.fields);
  if (const auto* const error = std::get_if<wire::DecodeError>(&header)) {
    malformed_.Add(*error);
    return;
  }
  module_->HandleDatagram(datagram, std::get<wire::ForwardingHeader>(header), now);
}

void AgentWorker::OnTick() {
  module_->HandleTick(clock_.Now());
  module_->PublishCounters();
  output_.PublishCounters();
  received_count_.Publish();
  malformed_.Publish();
  AgentStatus status;
  module_->FillReport(status.report);
  status.is_named = module_->IsNamed();
  status_handler_(std::move(status));
}

}  // namespace gaugevalve::agent
