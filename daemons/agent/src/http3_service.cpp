#include "http3_service.h"

#include <algorithm>
#include <string>
#include <utility>

#include "gaugevalve/base/hash.h"
#include "gaugevalve/connection_id/issuer.h"
#include "gaugevalve/telemetry/event.h"

namespace gaugevalve::agent {
namespace {

// How long an agent must be gone before its callers' connections are reset. Longer than a pause of
// a process or the delay of a table should last.
constexpr std::chrono::seconds kDepartureGrace{10};

// A datagram is passed on once to the agent that issued its ID. A second hop means that two agents
// disagree about addresses.
constexpr std::uint8_t kMaxIssuerHops = flow::kMaxHops;

prometheus::Gauge* MakeGauge(prometheus::Registry& registry, const std::string& name,
                             const std::string& help) {
  return &prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

// Derives the first nonce from the full incarnation, so that two incarnations with the same short
// form start at different nonces.
std::uint32_t FirstNonce(const flow::AgentIdentity& identity) {
  return static_cast<std::uint32_t>(
      base::HashPair(identity.node.value(), identity.incarnation.value()));
}

bool MayOpenConnection(const connection_id::InvariantHeader& packet) {
  const bool is_other_version =
      packet.is_long && packet.version != connection_id::kQuicVersion1 && packet.version != 0;
  return packet.is_initial || is_other_version;  // other versions lead to version negotiation
}

quic::Path PathOf(const wire::ProxyDatagram& datagram) {
  return {datagram.destination, datagram.source};
}

}  // namespace

std::string_view ToString(Http3Drop drop) {
  switch (drop) {
    case Http3Drop::kNotQuic:
      return "not_quic";
    case Http3Drop::kUnknownConnection:
      return "unknown_connection";
    case Http3Drop::kRefusedPacket:
      return "refused_packet";
  }
  return "unknown";
}

Http3Service::Http3Service(event_base* loop, AgentOutput& output,
                           const Http3ServiceSettings& settings,
                           std::unique_ptr<RequestBackend> backend, prometheus::Registry& registry)
    : output_(&output),
      ownership_(settings.identity, settings.ownership),
      codec_(settings.codec),
      answers_(kAnswerSlots),
      expiry_timer_(loop,
                    [this] {
                      server_.HandleExpiry(clock_.Now());
                      FlushAndUpdateTimer();
                    }),
      flush_timer_(loop,
                   [this] {
                     server_.Flush(clock_.Now());
                     FlushAndUpdateTimer();
                   }),
      backend_(std::move(backend)),
      server_(
          settings.server,
          connection_id::Issuer(settings.codec, settings.identity.service, settings.identity.node,
                                settings.identity.incarnation, FirstNonce(settings.identity)),
          settings.credentials, *this, *backend_),
      dropped_(registry, "gaugevalve_agent_datagrams_dropped_total",
               "Datagrams that were neither relayed nor passed on, by reason.",
               daemon::ReasonNames<flow::DropReason>(flow::kDropReasonCount)),
      dropped_quic_(registry, "gaugevalve_agent_datagrams_dropped_total",
                    "Datagrams that were neither relayed nor passed on, by reason.",
                    daemon::ReasonNames<Http3Drop>(kHttp3DropCount)),
      opened_(
          daemon::MakeCounter(registry, "gaugevalve_agent_flows_opened_total", "Flows opened.")),
      refused_(daemon::MakeCounter(registry, "gaugevalve_agent_connections_refused_total",
                                   "Connections refused because the agent is full or leaving.")),
      retries_(daemon::MakeCounter(
          registry, "gaugevalve_agent_quic_retries_total",
          "Callers asked to prove their address before a connection is opened.")),
      resets_(daemon::MakeCounter(registry, "gaugevalve_agent_stateless_resets_total",
                                  "Callers told that their connection is gone.")),
      unacknowledged_count_(
          daemon::MakeCounter(registry, "gaugevalve_agent_unacknowledged_answers_total",
                              "Answers of which callers acknowledged nothing for five seconds.")),
      connections_(MakeGauge(registry, "gaugevalve_agent_open_flows", "Flows that are open now.")),
      requests_(MakeGauge(registry, "gaugevalve_agent_open_requests",
                          "Requests in progress, event streams included.")) {}

void Http3Service::SetView(const control::ServiceView& service, base::TimePoint confirmed_at) {
  ownership_.UpdateTable(*service.table, confirmed_at);
  departed_.Update(service.table->agents, clock_.Now());
  table_ = service.table;
  backend_->SetView(service, confirmed_at);
}

void Http3Service::HandleDatagram(const wire::ProxyDatagram& datagram,
                                  wire::ForwardingHeader& header, base::TimePoint now) {
  const auto packet =
      connection_id::ParseInvariantHeader(datagram.payload, connection_id::kRoutableIdLength);
  if (!packet) {
    dropped_quic_.Add(Http3Drop::kNotQuic);
    return;
  }
  const connection_id::ConnectionId& id = packet->destination;
  if (const auto reason = ownership_.ReconcileEntry(header, base::HashBytes(id.bytes()))) {
    dropped_.Add(*reason);
    return;
  }
  if (server_.HasConnection(id)) {
    Serve(datagram, now);
    return;
  }
  const auto origin = codec_->Decode(id);
  const routing::AgentEntry* issuer = origin ? table_->FindAgent(origin->node) : nullptr;
  if (origin && origin->node == ownership_.Identity().node) {
    HandleOwnConnectionId(*packet, datagram, now);
  } else if (issuer != nullptr) {
    PassToIssuer(*issuer, datagram, header);
  } else if (MayOpenConnection(*packet)) {
    HandleFirstPacket(datagram, header, now);
  } else {
    HandleUnknownConnection(*packet, origin, datagram, now);
  }
}

void Http3Service::Serve(const wire::ProxyDatagram& datagram, base::TimePoint now) {
  switch (server_.HandleDatagram(PathOf(datagram), datagram.payload, now)) {
    case quic::DatagramOutcome::kOpened:
      opened_.Add();
      break;
    case quic::DatagramOutcome::kRefused:
      refused_.Add();
      break;
    case quic::DatagramOutcome::kRetrySent:
      retries_.Add();
      break;
    case quic::DatagramOutcome::kUnknown:
    case quic::DatagramOutcome::kMalformed:
      dropped_quic_.Add(Http3Drop::kRefusedPacket);
      break;
    case quic::DatagramOutcome::kHandled:
    case quic::DatagramOutcome::kVersionNegotiated:
      break;
  }
  UpdateTimer();
}

// Handles an ID that this or an earlier incarnation of this agent issued, without an open
// connection. No other agent can have the connection.
void Http3Service::HandleOwnConnectionId(const connection_id::InvariantHeader& packet,
                                         const wire::ProxyDatagram& datagram, base::TimePoint now) {
  if (packet.is_initial) {
    Serve(datagram, now);  // the caller's response to a Retry packet
  } else if (!packet.is_long) {
    Reset(datagram, now);
  } else {
    dropped_quic_.Add(Http3Drop::kUnknownConnection);
  }
}

void Http3Service::PassToIssuer(const routing::AgentEntry& issuer,
                                const wire::ProxyDatagram& datagram,
                                wire::ForwardingHeader& header) {
  if (header.hop_count >= kMaxIssuerHops) {
    dropped_.Add(flow::DropReason::kHopLimit);
    return;
  }
  header.target = issuer.node;
  header.target_incarnation = issuer.incarnation;
  ++header.hop_count;
  output_->PassOn(issuer.data_address, datagram, header);
}

void Http3Service::HandleFirstPacket(const wire::ProxyDatagram& datagram,
                                     wire::ForwardingHeader& header, base::TimePoint now) {
  const flow::OwnershipDecision decision = ownership_.Decide(header, std::nullopt, now);
  switch (decision.verdict) {
    case flow::Verdict::kOpen:
    case flow::Verdict::kServe:
      Serve(datagram, now);
      break;
    case flow::Verdict::kPassOn:
      output_->PassOn(decision.next_hop, datagram, header);
      break;
    case flow::Verdict::kDrop:
      dropped_.Add(decision.reason);
      break;
  }
}

void Http3Service::HandleUnknownConnection(const connection_id::InvariantHeader& packet,
                                           const std::optional<connection_id::Origin>& origin,
                                           const wire::ProxyDatagram& datagram,
                                           base::TimePoint now) {
  const bool is_gone = origin && departed_.HasLeft(origin->node, kDepartureGrace, now);
  if (is_gone && !packet.is_long) {
    Reset(datagram, now);
  } else {
    dropped_quic_.Add(Http3Drop::kUnknownConnection);
  }
}

void Http3Service::Reset(const wire::ProxyDatagram& datagram, base::TimePoint now) {
  if (server_.SendStatelessReset(PathOf(datagram), datagram.payload, now)) {
    resets_.Add();
  } else {
    dropped_quic_.Add(Http3Drop::kUnknownConnection);
  }
}

void Http3Service::StartDraining(base::TimePoint now) {
  ownership_.StartDraining(now);
  server_.Drain(now);
  backend_->StartDraining();
  FlushAndUpdateTimer();
}

// Only first packets are routed by bucket, so only connections in handshake are counted per bucket.
void Http3Service::FillReport(routing::AgentReport& report) const {
  const flow::AgentIdentity& identity = ownership_.Identity();
  report.service = identity.service;
  report.node = identity.node;
  report.incarnation = identity.incarnation;
  report.state =
      ownership_.IsDraining() ? routing::AgentState::kDraining : routing::AgentState::kServing;
  report.table_version = ownership_.AcknowledgedVersion();
  report.open_flows = static_cast<std::uint32_t>(server_.ConnectionCount());
  backend_->FillReport(report);
  report.flows_in_buckets.assign(ownership_.BucketCount(), 0);
  if (report.flows_in_buckets.empty()) {
    return;
  }
  for (const connection_id::ConnectionId& id : server_.HandshakingIds()) {
    ++report.flows_in_buckets[base::HashBytes(id.bytes()) % report.flows_in_buckets.size()];
  }
}

// Logs answers for which the caller has acknowledged no data for kStallTime.
void Http3Service::LogUnacknowledged(base::TimePoint now) {
  const std::vector<quic::StreamOutput> outputs = server_.WaitingOutputs();
  std::vector<decltype(unacknowledged_)::Item> items;
  items.reserve(outputs.size());
  for (const quic::StreamOutput& output : outputs) {
    items.push_back({{output.remote, output.stream}, output.acknowledged});
  }
  const auto stalled = unacknowledged_.TakeStalled(items, now);
  for (const quic::StreamOutput& output : outputs) {
    if (std::ranges::find(stalled, std::pair(output.remote, output.stream)) == stalled.end()) {
      continue;
    }
    unacknowledged_count_.Add();
    telemetry::Event(telemetry::Level::kWarning, "answer_unacknowledged")
        .Field("caller", output.remote)
        .Field("stream", output.stream)
        .Field("acknowledged", output.acknowledged)
        .Field("waiting", output.waiting)
        .Field("untaken", output.untaken)
        .Field("whole", output.is_ended)
        .Field("end_sent", output.is_end_sent)
        .Field("writable", output.is_writable)
        .Field("stream_window", output.stream_window)
        .Field("congestion_room", output.congestion_room)
        .Field("in_flight", output.in_flight);
  }
}

void Http3Service::PublishCounters() {
  unacknowledged_count_.Publish();
  backend_->PublishCounters();
  dropped_.Publish();
  dropped_quic_.Publish();
  opened_.Publish();
  refused_.Publish();
  retries_.Publish();
  resets_.Publish();
  connections_->Set(static_cast<double>(server_.ConnectionCount()));
  requests_->Set(static_cast<double>(server_.RequestCount()));
}

void Http3Service::SendDatagram(const quic::Path& path, std::span<const std::uint8_t> payload) {
  if (used_answers_ == answers_.size()) {
    output_->Flush();
    used_answers_ = 0;
  }
  std::array<std::uint8_t, tasks::kMaxDatagramSize>& slot = answers_[used_answers_];
  ++used_answers_;
  std::copy(payload.begin(), payload.end(), slot.begin());
  output_->SendAnswer(path.local, path.remote, std::span(slot).first(payload.size()));
}

void Http3Service::FlushAndUpdateTimer() {
  output_->Flush();
  used_answers_ = 0;
  UpdateTimer();
}

void Http3Service::UpdateTimer() {
  const auto due = server_.NextExpiry();
  if (!due) {
    expiry_timer_.Cancel();
    return;
  }
  expiry_timer_.StartOnce(std::max(*due - clock_.Now(), base::Duration{0}));
}

}  // namespace gaugevalve::agent
