// The module for `http3` services: terminates QUIC and HTTP/3 and passes requests to a handler.
#pragma once

#include <event2/event.h>

#include <array>
#include <cstdint>
#include <memory>
#include <vector>

#include "agent_output.h"
#include "departed_agents.h"
#include "gaugevalve/base/clock.h"
#include "gaugevalve/connection_id/codec.h"
#include "gaugevalve/connection_id/invariant_header.h"
#include "gaugevalve/daemon/reason_counters.h"
#include "gaugevalve/flow/bucket_ownership.h"
#include "gaugevalve/quic/http3_server.h"
#include "gaugevalve/tasks/timer.h"
#include "gaugevalve/tasks/udp_batch.h"
#include "http3_drop.h"
#include "progress_monitor.h"
#include "prometheus/gauge.h"
#include "prometheus/registry.h"
#include "request_backend.h"
#include "service_module.h"

namespace gaugevalve::agent {

// Parameters of an Http3Service.
struct Http3ServiceSettings {
  flow::AgentIdentity identity;
  flow::OwnershipSettings ownership;
  quic::Http3ServerOptions server;
  std::shared_ptr<const connection_id::Codec> codec;
  quic::CertificateCredentials credentials;
};

// Serves each datagram by the first rule that applies:
// 1. This agent serves it if it has a connection with the datagram's connection ID.
// 2. If the table lists the agent that issued the ID, the datagram is passed on to it, once.
// 3. A first packet goes to the agent that the bucket rules of libs/flow choose, keyed by the ID.
// 4. Otherwise the connection no longer exists. The caller gets a stateless reset only if this
// agent
//    issued the ID, or if the agent that did left the table at least a grace period ago. An
//    outdated table must not end a connection of an agent that it doesn't list yet, nor one of an
//    agent that was silent for a moment.
//
// Runs in the data task's thread.
class Http3Service final : public ServiceModule, private quic::DatagramSink {
 public:
  // `loop` and `output` must outlive this. `backend` handles the requests.
  Http3Service(event_base* loop, AgentOutput& output, const Http3ServiceSettings& settings,
               std::unique_ptr<RequestBackend> backend, prometheus::Registry& registry);

  void SetView(const control::ServiceView& service, base::TimePoint confirmed_at) override;
  void HandleDatagram(const wire::ProxyDatagram& datagram, wire::ForwardingHeader& header,
                      base::TimePoint now) override;
  void SetEndpoint(const settings::EndpointSettings& endpoint) override {
    backend_->SetEndpoint(endpoint);
  }
  void HandlePeerMessage(base::NodeId sender, std::string_view payload) override {
    backend_->HandlePeerMessage(sender, payload);
  }
  void HandleContacts(std::span<const routing::AgentContact> contacts) override {
    backend_->HandleContacts(contacts);
  }
  void HandleTick(base::TimePoint now) override { LogUnacknowledged(now); }
  void StartDraining(base::TimePoint now) override;
  void FillReport(routing::AgentReport& report) const override;
  bool IsNamed() const override { return ownership_.IsNamed(); }
  void PublishCounters() override;
  void SetCredentials(const quic::CertificateCredentials& credentials) override {
    server_.SetCredentials(credentials);
  }

 private:
  // quic::DatagramSink
  void SendDatagram(const quic::Path& path, std::span<const std::uint8_t> payload) override;
  void RequestFlush() override { flush_timer_.StartOnce(base::Duration{0}); }

  void Serve(const wire::ProxyDatagram& datagram, base::TimePoint now);
  void HandleOwnConnectionId(const connection_id::InvariantHeader& packet,
                             const wire::ProxyDatagram& datagram, base::TimePoint now);
  void PassToIssuer(const routing::AgentEntry& issuer, const wire::ProxyDatagram& datagram,
                    wire::ForwardingHeader& header);
  void HandleFirstPacket(const wire::ProxyDatagram& datagram, wire::ForwardingHeader& header,
                         base::TimePoint now);
  void HandleUnknownConnection(const connection_id::InvariantHeader& packet,
                               const std::optional<connection_id::Origin>& origin,
                               const wire::ProxyDatagram& datagram, base::TimePoint now);
  void Reset(const wire::ProxyDatagram& datagram, base::TimePoint now);
  void LogUnacknowledged(base::TimePoint now);
  void FlushAndUpdateTimer();
  void UpdateTimer();

  static constexpr std::size_t kAnswerSlots = 64;

  base::SystemClock clock_;
  AgentOutput* output_;
  flow::BucketOwnership ownership_;
  std::shared_ptr<const connection_id::Codec> codec_;
  std::shared_ptr<const routing::BucketTable> table_;
  DepartedAgents departed_;
  // Payloads of answers, kept until the output has sent them.
  std::vector<std::array<std::uint8_t, tasks::kMaxDatagramSize>> answers_;
  std::size_t used_answers_ = 0;
  tasks::Timer expiry_timer_;
  tasks::Timer flush_timer_;
  std::unique_ptr<RequestBackend> backend_;
  quic::Http3Server server_;
  daemon::ReasonCounters dropped_;
  daemon::ReasonCounters dropped_quic_;
  daemon::PublishedCounter opened_;
  daemon::PublishedCounter refused_;
  daemon::PublishedCounter retries_;
  daemon::PublishedCounter resets_;
  // Tracks how many bytes of the answer have been acknowledged on each caller's stream.
  ProgressMonitor<std::pair<base::SocketAddress, std::int64_t>> unacknowledged_;
  daemon::PublishedCounter unacknowledged_count_;
  prometheus::Gauge* connections_;
  prometheus::Gauge* requests_;
};

}  // namespace gaugevalve::agent
