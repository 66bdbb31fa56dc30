// A few agents that hand requests to each other, with everything that can go wrong between them.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "gaugevalve/base/random_source.h"
#include "gaugevalve/requests/hand_over.h"
#include "request_oracle.h"

namespace gaugevalve::proofs {

// The system under test. Every method is one event that may come at any moment; the numbers choose
// among what is there.
class HandOverSimulation {
 public:
  // `remembered_origins` is HandOverLimits::remembered_origins.
  HandOverSimulation(const requests::HandOverMechanisms& mechanisms,
                     std::size_t remembered_origins);

  // A caller's request comes to an agent that can't run it.
  void Request(std::uint32_t agent, std::uint32_t what);
  void CancelRequest(std::uint32_t request);
  void PauseAnswer(std::uint32_t request, bool is_paused);

  // An endpoint goes on with one of the runs: starts it, answers a part of it, or fails.
  void AdvanceRun(std::uint32_t run, std::uint32_t outcome);
  void PauseBody(std::uint32_t run, bool is_paused);

  void DeliverMessage(std::uint32_t message);
  void DeliverAll();
  void LoseMessage(std::uint32_t message);
  // A message, or a second one like it, is held back until DeliverHeldBack().
  void HoldBackMessage(std::uint32_t message, bool keeps_original);
  void DeliverHeldBack(std::uint32_t message);

  void Kill(std::uint32_t agent);
  void Restart(std::uint32_t agent);
  void Freeze(std::uint32_t agent);
  void Thaw(std::uint32_t agent);
  void SetDraining(std::uint32_t agent, bool is_draining);
  // The agent refuses what it is offered, though it announces room.
  void SetBusy(std::uint32_t agent, bool is_busy);
  // The planner lists an agent or doesn't; tables reach agents only by DeliverTable().
  void SetListed(std::uint32_t agent, bool is_listed);
  void DeliverTable(std::uint32_t agent);
  void AdvanceTime(std::uint32_t milliseconds);
  // Time passes while what isn't held back arrives: a good network and, here and there, silence.
  void RunNetworkFor(std::uint32_t milliseconds);

  // Lets everything that is under way come to its end, what is held back last: nothing may be left.
  void FinishAndCheck();

  const std::string& Violation() const { return oracle_.Violation(); }

 private:
  // A request in an agent's hands; the caller's, or one taken from another agent.
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
