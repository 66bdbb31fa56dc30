// Admits callers' requests to the endpoint beside the agent, and keeps keyed ones to one execution.
#pragma once

#include <event2/event.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "admitted_request.h"
#include "endpoint_client.h"
#include "gaugevalve/base/clock.h"
#include "gaugevalve/base/random_source.h"
#include "gaugevalve/daemon/reason_counters.h"
#include "gaugevalve/flow/bucket_ownership.h"
#include "gaugevalve/requests/request_pipeline.h"
#include "gaugevalve/tasks/timer.h"
#include "prometheus/gauge.h"
#include "request_backend.h"

namespace gaugevalve::agent {

// What a RequestService is made of.
struct RequestServiceSettings {
  flow::AgentIdentity identity;
  base::SocketAddress endpoint;
  EndpointClientOptions client;
  // Used until the settings tree's values come.
  requests::AdmissionLimits admission{.slots = 64,
                                      .queue_length = 64,
                                      .streams = 2000,
                                      .expected_service_time = base::Duration(50'000)};
  requests::AtMostOnceLimits at_most_once;
};

// The shell around requests::RequestPipeline: HTTP/3 above, HTTP/1.1 to the endpoint below, other
// agents beside it. Runs in the data task's thread.
class RequestService final : public RequestBackend, private RequestOwner {
 public:
  // Sends a message to another agent; it may be lost.
  using PeerSender = std::function<void(base::NodeId destination, std::string payload)>;

  // `loop` must outlive this, and this every request.
  RequestService(event_base* loop, const RequestServiceSettings& settings, PeerSender peer_sender,
                 prometheus::Registry& registry);

  // quic::RequestHandlerFactory
  std::unique_ptr<quic::RequestHandler> OnRequest(const quic::RequestHead& head,
                                                  const quic::Path& path,
                                                  quic::ResponseWriter& writer) override;

  // RequestBackend
  void SetView(const control::ServiceView& service, base::TimePoint confirmed_at) override;
  void SetEndpoint(const settings::EndpointSettings& endpoint) override;
  void HandlePeerMessage(base::NodeId sender, std::string_view payload) override;
  void StartDraining() override { pipeline_.StartDraining(); }
  void FillReport(routing::AgentReport& report) override;
  void PublishCounters() override;

 private:
  // A request that the pipeline knows.
  struct Known {
    AdmittedRequest* request = nullptr;
    base::TimePoint deadline{};
  };

  // RequestOwner
  void OnArrived(AdmittedRequest& request) override;
  void OnAnswerBegan(requests::RequestId id) override { pipeline_.AnswerBegan(id); }
  void OnBecameStream(requests::RequestId id) override {
    Perform(pipeline_.BecameStream(id, clock_.Now()));
  }
  void OnEnded(requests::RequestId id, requests::EndpointEnd end,
               const requests::StoredAnswer& answer) override;
  void OnCancelled(requests::RequestId id) override;

  void Perform(const requests::PipelineActions& actions);
  void Start(requests::RequestId id);
  void Refuse(const requests::RefusedRequest& refused);
  AdmittedRequest* Forget(requests::RequestId id);

  base::SystemClock clock_;
  flow::AgentIdentity identity_;
  base::Duration default_timeout_;
  requests::AdmissionLimits limits_;
  PeerSender peer_sender_;
  base::RandomSource random_;
  EndpointClient client_;
  requests::RequestPipeline pipeline_;
  absl::flat_hash_map<requests::RequestId, Known> known_;
  std::uint64_t next_id_ = 1;
  std::uint32_t failures_since_report_ = 0;
  daemon::ReasonCounters ended_;
  daemon::ReasonCounters refused_;
  daemon::PublishedCounter malformed_messages_;
  prometheus::Gauge* running_;
  prometheus::Gauge* waiting_;
  prometheus::Gauge* streams_;
  prometheus::Gauge* remembers_keys_;
  tasks::Timer timer_;
};

}  // namespace gaugevalve::agent
