// Simulates several agents that hand requests over to each other, with faults of the agents and the
// network.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "gaugevalve/base/random_source.h"
#include "gaugevalve/requests/hand_over.h"
#include "request_oracle.h"

namespace gaugevalve::proofs {

// The system under test. Each method is one event that may occur at any time; its numbers select
// among the existing agents, requests, runs and messages.
class HandOverSimulation {
 public:
  // `remembered_origins` is HandOverLimits::remembered_origins.
  HandOverSimulation(const requests::HandOverMechanisms& mechanisms,
                     std::size_t remembered_origins);

  // A caller sends a request to an agent that cannot run it.
  void Request(std::uint32_t agent, std::uint32_t what);
  void CancelRequest(std::uint32_t request);
  void PauseAnswer(std::uint32_t request, bool is_paused);

  // An endpoint advances one of its runs: starts it, sends a part of the answer, or fails.
  void AdvanceRun(std::uint32_t run, std::uint32_t outcome);
  void PauseBody(std::uint32_t run, bool is_paused);

  void DeliverMessage(std::uint32_t message);
  void DeliverAll();
  void LoseMessage(std::uint32_t message);
  // Holds back a message, or a copy of it if `keeps_original`, until DeliverHeldBack().
  void HoldBackMessage(std::uint32_t message, bool keeps_original);
  void DeliverHeldBack(std::uint32_t message);

  void Kill(std::uint32_t agent);
  void Restart(std::uint32_t agent);
  void Freeze(std::uint32_t agent);
  void Thaw(std::uint32_t agent);
  void SetDraining(std::uint32_t agent, bool is_draining);
  // The agent refuses offers although it announces capacity.
  void SetBusy(std::uint32_t agent, bool is_busy);
  // The planner adds or removes an agent. Tables reach agents only through DeliverTable().
  void SetListed(std::uint32_t agent, bool is_listed);
  void DeliverTable(std::uint32_t agent);
  void AdvanceTime(std::uint32_t milliseconds);
  // Advances time while messages that are not held back are delivered.
  void RunNetworkFor(std::uint32_t milliseconds);

  // Lets all requests end, delivers the held-back messages last, and checks that nothing is left.
  void FinishAndCheck();

  const std::string& Violation() const { return oracle_.Violation(); }

 private:
  // A request that an agent accepted from another agent and runs at its endpoint.
  struct Run {
    enum class Stage : std::uint8_t { kWaiting, kRunning, kAnswering, kEnded };
    base::NodeId agent;
    base::Incarnation incarnation;
    requests::HandOverId id;
    std::uint64_t request = 0;
    Stage stage = Stage::kWaiting;
    std::string body;
    std::size_t answered = 0;
    bool has_room = true;
  };

  struct Agent {
    base::Incarnation incarnation;
    std::unique_ptr<base::RandomSource> random;
    std::unique_ptr<requests::HandOver> core;
    bool is_frozen = false;
    bool is_draining = false;
    bool is_busy = false;
  };

  struct Message {
    base::NodeId sender;
    requests::OutgoingMessage outgoing;
  };

  base::NodeId NodeAt(std::uint32_t number) const;
  Agent* FindLive(base::NodeId node);
  Agent* FindRunning(base::NodeId node);
  void StartIncarnation(base::NodeId node);
  bool OfferFrom(base::NodeId node, std::uint64_t request, bool was_handed_over);
  void SendBody(base::NodeId node, std::uint64_t request);
  void Apply(base::NodeId node, const requests::HandOverActions& actions);
  void ApplyOriginEvent(base::NodeId node, const requests::OriginEvent& event);
  void ApplyExecutorEvent(base::NodeId node, const requests::ExecutorEvent& event);
  void HandleOffer(base::NodeId node, const requests::HandOverId& id,
                   const requests::RunOffered& offer);
  void Start(Run& run);
  void Answer(Agent& agent, Run& run, std::uint32_t outcome);
  Run* FindRun(base::NodeId node, const requests::HandOverId& id);
  bool IsCurrentOrigin(const OracleEntry& entry, base::NodeId node);
  bool DeliverAt(std::size_t index);
  void FinishAllRequests();
  void CheckBounds();

  requests::HandOverLimits limits_;
  base::TimePoint now_;
  std::uint64_t next_incarnation_ = 1;
  std::uint32_t sequence_ = 0;
  std::map<base::NodeId, Agent> agents_;
  std::shared_ptr<const routing::BucketTable> table_;
  std::vector<Message> messages_;
  std::vector<Message> held_back_;
  std::vector<Run> runs_;
  RequestOracle oracle_;
};

}  // namespace gaugevalve::proofs
