// A few agents that hand requests to each other, with everything that can go wrong between them.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "gaugevalve/base/random_source.h"
#include "gaugevalve/requests/hand_over.h"
#include "request_ledger.h"

namespace gaugevalve::proofs {

// The system under test. Every method is one event that may come at any moment; the numbers choose
// among what is there.
class HandOverWorld {
 public:
  // `remembered_origins` is HandOverLimits::remembered_origins.
  HandOverWorld(const requests::HandOverMechanisms& mechanisms, std::size_t remembered_origins);

  // A caller's request comes to an agent that can't run it.
  void Request(std::uint32_t agent, std::uint32_t what);
  void CancelRequest(std::uint32_t request);
  void PauseAnswer(std::uint32_t request, bool is_paused);

  // An endpoint goes on with one of the runs: starts it, answers a part of it, or fails.
  void AdvanceRun(std::uint32_t run, std::uint32_t how);
  void PauseBody(std::uint32_t run, bool is_paused);

  void DeliverMessage(std::uint32_t message);
  void DeliverAll();
  void LoseMessage(std::uint32_t message);
  // A message, or a second one like it, is held back until DeliverLate().
  void DelayMessage(std::uint32_t message, bool is_doubled);
  void DeliverLate(std::uint32_t message);

  void Kill(std::uint32_t agent);
  void Restart(std::uint32_t agent);
  void Freeze(std::uint32_t agent);
  void Wake(std::uint32_t agent);
  void SetDraining(std::uint32_t agent, bool is_draining);
  // The agent refuses what it is offered, though it announces room.
  void SetBusy(std::uint32_t agent, bool is_busy);
  // The planner lists an agent or doesn't; tables reach agents only by GiveTable().
  void SetListed(std::uint32_t agent, bool is_listed);
  void GiveTable(std::uint32_t agent);
  void PassTime(std::uint32_t milliseconds);
  // Time passes while what isn't held back arrives: a good network and, here and there, silence.
  void RunFor(std::uint32_t milliseconds);

  // Lets everything that is under way come to its end, what is held back last: nothing may be left.
  void Settle();

  const std::string& Broken() const { return ledger_.Broken(); }

 private:
  // A request in an agent's hands; the caller's, or one taken from another agent.
  struct Run {
    enum class Stage : std::uint8_t { kWaiting, kRunning, kAnswering, kOver };
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
  Agent* Live(base::NodeId node);
  Agent* Active(base::NodeId node);
  void StartLife(base::NodeId node);
  bool OfferFrom(base::NodeId node, std::uint64_t request, bool was_handed_over);
  void GiveBody(base::NodeId node, std::uint64_t request);
  void Take(base::NodeId node, const requests::HandOverActions& actions);
  void TakeOrigin(base::NodeId node, const requests::OriginEvent& event);
  void TakeExecutor(base::NodeId node, const requests::ExecutorEvent& event);
  void TakeOffer(base::NodeId node, const requests::HandOverId& id,
                 const requests::RunOffered& offer);
  void Start(Run& run);
  void Answer(Agent& agent, Run& run, std::uint32_t how);
  Run* FindRun(base::NodeId node, const requests::HandOverId& id);
  bool IsAt(const LedgerEntry& entry, base::NodeId node);
  bool DeliverAt(std::size_t index);
  void FinishAll();
  void CheckBounds();

  requests::HandOverLimits limits_;
  base::TimePoint now_;
  std::uint64_t next_incarnation_ = 1;
  std::uint32_t sequence_ = 0;
  std::map<base::NodeId, Agent> agents_;
  std::shared_ptr<const routing::BucketTable> table_;
  std::vector<Message> messages_;
  std::vector<Message> late_;
  std::vector<Run> runs_;
  RequestLedger ledger_;
};

}  // namespace gaugevalve::proofs
