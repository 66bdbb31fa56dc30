// The shell around requests::HandOver: requests that leave this agent for another, and those that
// come from others.
#pragma once

#include <event2/event.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <variant>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "admitted_request.h"
#include "gaugevalve/base/clock.h"
#include "gaugevalve/daemon/reason_counters.h"
#include "gaugevalve/flow/bucket_ownership.h"
#include "gaugevalve/requests/hand_over.h"
#include "gaugevalve/tasks/timer.h"
#include "prometheus/gauge.h"
#include "prometheus/registry.h"

namespace gaugevalve::agent {

class RunForPeer;

// Sends a message to another agent; it may be lost.
using PeerSender = std::function<void(base::NodeId destination, std::string payload)>;

// Who owns the requests on both sides. Outlives the HandOverService.
class HandOverOwner : public RequestOwner {
 public:
  // Returns the id of a request that comes from another agent.
  virtual requests::RequestId NextRequestId() = 0;

  // No peer gave an answer to this request of ours.
  virtual void OnRefusedElsewhere(requests::RequestId id, const requests::Refusal& refusal) = 0;
};

// Runs in the data task's thread. What the core says is acted upon from the loop or from a call of
// OnMessage(), OnTimer() and SetTable(), never within a call of a request, which it may end.
class HandOverService {
 public:
  // `loop`, `owner` and `random` must outlive this.
  HandOverService(event_base* loop, const flow::AgentIdentity& identity, HandOverOwner& owner,
                  PeerSender peer_sender, base::RandomSource& random,
                  prometheus::Registry& registry);
  ~HandOverService();
  HandOverService(const HandOverService&) = delete;
  HandOverService& operator=(const HandOverService&) = delete;

  // Offers the request to a peer, if one will do. Returns false, having done nothing, when not.
  bool Offer(AdmittedRequest& request, requests::HandOverNeed need, base::TimePoint deadline);

  // Returns why a request should run elsewhere, or nothing.
  std::optional<requests::HandOverNeed> FindHandOverNeed(
      const requests::LocalSituation& situation) const {
    return requests::FindHandOverNeed(situation, limits_);
  }

  void SetTable(const std::shared_ptr<const routing::BucketTable>& table);
  void OnMessage(base::NodeId sender, const requests::proto::HandOverMessage& message);
  void OnTimer(const requests::LocalLoad& load);
  void PublishCounters();

  // For the exchanges of requests that left.
  bool WriteBody(requests::RequestId id, std::span<const std::uint8_t> bytes);
  void FinishBody(requests::RequestId id);
  void SetAnswerPaused(requests::RequestId id, bool is_paused);
  void Cancel(requests::RequestId id);

  // For the runs of requests that came. A run that is over is destroyed later, from the loop.
  requests::HandOverExecutor& Executor() { return core_.Executor(); }
  base::TimePoint Now() const { return clock_.Now(); }
  void Perform(const requests::HandOverActions& actions);
  void OnRunOver(const requests::HandOverId& run);

 private:
  using Event = std::variant<requests::OriginEvent, requests::ExecutorEvent>;

  void PerformAndHandle(const requests::HandOverActions& actions);
  void HandleEvents();
  void Handle(const requests::OriginEvent& event);
  void Handle(const requests::ExecutorEvent& event);
  void BeginRun(const requests::HandOverId& id, const requests::RunOffered& offer);
  void SweepRuns();

  base::SystemClock clock_;
  requests::HandOverLimits limits_;
  HandOverOwner& owner_;
  PeerSender peer_sender_;
  requests::HandOver core_;
  absl::flat_hash_map<requests::RequestId, EndpointEvents*> left_;
  absl::flat_hash_map<requests::HandOverId, std::unique_ptr<RunForPeer>> runs_;
  std::vector<requests::HandOverId> over_;
  std::deque<Event> events_;
  bool is_handling_ = false;
  daemon::ReasonCounters ended_;
  daemon::PublishedCounter taken_;
  prometheus::Gauge* away_;
  prometheus::Gauge* here_;
  tasks::Timer deferred_;
};

}  // namespace gaugevalve::agent
