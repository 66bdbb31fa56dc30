// Connects requests::HandOver with the agent: requests that this agent hands over to another, and
// requests that others hand over to it.
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
#include "gaugevalve/transport/peer_transport.h"
#include "prometheus/gauge.h"
#include "prometheus/registry.h"

namespace gaugevalve::agent {

class RunForPeer;

// Sends a message to another agent. Delivery is not guaranteed.
using PeerSender = std::function<void(base::NodeId destination, std::string payload,
                                      transport::TrafficClass traffic)>;

// Owns the requests of both directions. Must outlive the HandOverService.
class HandOverOwner : public RequestOwner {
 public:
  // Returns a new id for a request that another agent handed over.
  virtual requests::RequestId NextRequestId() = 0;

  // A request that this agent handed over was refused, or its outcome is unknown.
  virtual void OnRefusedElsewhere(requests::RequestId id, const requests::Refusal& refusal) = 0;
};

// Runs in the data task's thread. Events of the core are handled from the loop or within
// OnMessage(), OnTimer() and SetTable(). They are never handled within a call that a request makes,
// since an event may end that request.
class HandOverService {
 public:
  // `loop`, `owner` and `random` must outlive this.
  HandOverService(event_base* loop, const flow::AgentIdentity& identity, HandOverOwner& owner,
                  PeerSender peer_sender, base::RandomSource& random,
                  prometheus::Registry& registry);
  ~HandOverService();
  HandOverService(const HandOverService&) = delete;
  HandOverService& operator=(const HandOverService&) = delete;

  // Offers the request to a peer. Returns false and changes nothing if no peer is suitable.
  bool Offer(AdmittedRequest& request, requests::HandOverNeed need, base::TimePoint deadline);

  // Returns why a request should be handed over, or nothing if it should run here.
  std::optional<requests::HandOverNeed> FindHandOverNeed(
      const requests::LocalSituation& situation) const {
    return requests::FindHandOverNeed(situation, limits_);
  }

  void SetTable(const std::shared_ptr<const routing::BucketTable>& table);
  // Agents that membership counts as live; null if there is no membership.
  void SetLiveAgents(const std::shared_ptr<const routing::LiveAgents>& agents);
  void NoteContacts(std::span<const routing::AgentContact> contacts);
  void OnMessage(base::NodeId sender, const requests::proto::HandOverMessage& message);
  void OnTimer(const requests::LocalLoad& load);
  void PublishCounters();

  // Called by the exchanges of requests handed over to other agents.
  bool WriteBody(requests::RequestId id, std::span<const std::uint8_t> bytes);
  void FinishBody(requests::RequestId id);
  void SetAnswerPaused(requests::RequestId id, bool is_paused);
  void Cancel(requests::RequestId id);

  // Called by the runs of requests that other agents handed over. A finished run is destroyed
  // later, from the loop.
  requests::HandOverExecutor& Executor() { return core_.Executor(); }
  base::TimePoint Now() const { return clock_.Now(); }
  void Perform(const requests::HandOverActions& actions);
  void OnRunFinished(const requests::HandOverId& run);

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
  absl::flat_hash_map<requests::RequestId, EndpointEvents*> away_exchanges_;
  absl::flat_hash_map<requests::HandOverId, std::unique_ptr<RunForPeer>> runs_;
  std::vector<requests::HandOverId> finished_runs_;
  std::deque<Event> events_;
  bool is_handling_ = false;
  daemon::ReasonCounters ended_;
  daemon::PublishedCounter accepted_;
  prometheus::Gauge* away_gauge_;
  prometheus::Gauge* here_gauge_;
  tasks::Timer deferred_;
};

}  // namespace gaugevalve::agent
