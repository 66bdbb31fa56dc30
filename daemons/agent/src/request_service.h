// Admits callers' requests to the endpoint beside the agent and runs each keyed request at most
// once.
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
#include "hand_over_service.h"
#include "progress_monitor.h"
#include "prometheus/gauge.h"
#include "request_backend.h"

namespace gaugevalve::agent {

// Parameters of a RequestService.
struct RequestServiceSettings {
  flow::AgentIdentity identity;
  base::SocketAddress endpoint;
  EndpointClientOptions client;
  // Used until values from the settings tree arrive.
  requests::AdmissionLimits admission{.slots = 64,
                                      .queue_length = 64,
                                      .streams = 2000,
                                      .expected_service_time = base::Duration(50'000)};
  requests::AtMostOnceLimits at_most_once;
};

// Connects requests::RequestPipeline with the HTTP/3 server, the HTTP/1.1 client of the endpoint
// and other agents. Runs in the data task's thread.
class RequestService final : public RequestBackend, private HandOverOwner {
 public:
  // `loop` must outlive this object, and this object every request.
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
  void HandleContacts(std::span<const routing::AgentContact> contacts) override {
    hand_over_.NoteContacts(contacts);
  }
  void StartDraining() override;
  void FillReport(routing::AgentReport& report) override;
  void PublishCounters() override;

 private:
  // A request that is in the pipeline or runs at another agent.
  struct TrackedRequest {
    AdmittedRequest* request = nullptr;
    base::TimePoint deadline{};
    bool is_away = false;  // handed over to another agent; not in the pipeline
  };

  // HandOverOwner
  requests::RequestId NextRequestId() override { return requests::RequestId(next_id_++); }
  void OnRefusedElsewhere(requests::RequestId id, const requests::Refusal& refusal) override;
  void OnArrived(AdmittedRequest& request) override;
  void OnAnswerBegan(requests::RequestId id) override { pipeline_.MarkAnswerBegun(id); }
  void OnBecameStream(requests::RequestId id) override {
    Perform(pipeline_.MarkAsStream(id, clock_.Now()));
  }
  void OnEnded(requests::RequestId id, requests::EndpointResult end,
               const requests::StoredAnswer& answer) override;
  void OnCancelled(requests::RequestId id) override;

  bool HandOver(AdmittedRequest& request, base::TimePoint deadline, base::TimePoint now);
  bool HandOverUnsent(requests::RequestId id, requests::EndpointResult end);
  bool IsDraining() const { return is_draining_ || is_endpoint_draining_; }
  requests::LocalLoad Load(base::TimePoint now) const;
  void UpdateEndpointState(requests::EndpointResult end, base::TimePoint now);
  void UpdateDraining();
  void OnTimer();
  void CheckAnswerProgress(base::TimePoint now);
  void LogStalledAnswer(requests::RequestId id);
  void EndStalledAnswers(base::TimePoint now);
  void Perform(const requests::PipelineActions& actions);
  void Start(requests::RequestId id);
  void Refuse(const requests::RefusedRequest& refused);
  AdmittedRequest* StopTracking(requests::RequestId id);

  base::SystemClock clock_;
  flow::AgentIdentity identity_;
  base::Duration default_timeout_;
  requests::AdmissionLimits limits_;
  PeerSender peer_sender_;
  base::RandomSource random_;
  EndpointClient client_;
  requests::RequestPipeline pipeline_;
  absl::flat_hash_map<requests::RequestId, TrackedRequest> tracked_;
  bool is_hand_over_on_ = true;
  bool is_draining_ = false;           // this process drains
  bool is_endpoint_draining_ = false;  // the settings say that the endpoint drains
  base::TimePoint endpoint_down_until_{};
  std::uint64_t next_id_ = 1;
  std::uint32_t failures_since_report_ = 0;
  daemon::ReasonCounters ended_;
  daemon::ReasonCounters refused_;
  daemon::PublishedCounter malformed_messages_;
  prometheus::Gauge* running_;
  prometheus::Gauge* waiting_;
  prometheus::Gauge* streams_;
  prometheus::Gauge* remembers_keys_;
  ProgressMonitor<requests::RequestId> answer_progress_;
  base::TimePoint answer_progress_checked_at_{};
  daemon::ReasonCounters stalled_;
  HandOverService hand_over_;
  tasks::Timer timer_;
};

}  // namespace gaugevalve::agent
