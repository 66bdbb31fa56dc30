// An agent of the simulation: a flow core with a life that can be frozen, lost and begun again.
#pragma once

#include <cstdint>
#include <optional>

#include "gaugevalve/base/time.h"
#include "gaugevalve/flow/flow_core.h"
#include "gaugevalve/routing/agent_report.h"
#include "gaugevalve/routing/bucket_table.h"
#include "gaugevalve/wire/flow_key.h"
#include "gaugevalve/wire/forwarding_header.h"
#include "mutant.h"

namespace gaugevalve::proofs {

// Whether a process runs on the agent's machine.
enum class ProcessState : std::uint8_t { kRunning, kFrozen, kGone };

// One agent by its name; each Start() is a new life with nothing kept from the former.
class SimulatedAgent {
 public:
  SimulatedAgent(base::NodeId node, Mutant mutant) : node_(node), mutant_(mutant) {}

  // Begins a new life, larger in incarnation than the former, as an agent of `service`.
  void Start(base::ServiceId service);

  void Freeze(base::TimePoint now);
  void Thaw() { state_ = state_ == ProcessState::kFrozen ? ProcessState::kRunning : state_; }
  void Crash();

  // Takes a table that was current at `confirmed_at`. Must run.
  void UpdateTable(const routing::BucketTable& table, base::TimePoint confirmed_at);

  // Decides about a datagram. Must run.
  flow::FlowAction Decide(const wire::FlowKey& key, wire::ForwardingHeader& header,
                          base::TimePoint now);

  void StartDraining(base::TimePoint now);
  void Tick(base::TimePoint now);
  routing::AgentReport Report() const;

  // Tells whether this life has the flow open; false when gone.
  bool Holds(const wire::FlowKey& key) const;

  // Tells whether a table at least as new as `version` was taken in this life.
  bool HasTable(const routing::TableVersion& version) const;

  base::NodeId Node() const { return node_; }
  base::Incarnation CurrentIncarnation() const { return incarnation_; }
  base::ServiceId Service() const { return service_; }
  ProcessState State() const { return state_; }
  bool IsRunning() const { return state_ == ProcessState::kRunning; }
  bool IsDraining() const { return core_ && core_->Ownership().IsDraining(); }

  // Tells whether the process is frozen for so long that it will know when it wakes.
  bool IsFrozenForLong(base::TimePoint now) const;

  // The newest time at which a table that this life has taken was current.
  base::TimePoint ConfirmedAt() const { return confirmed_at_; }

 private:
  base::NodeId node_;
  Mutant mutant_;
  base::ServiceId service_;
  base::Incarnation incarnation_;
  ProcessState state_ = ProcessState::kGone;
  base::TimePoint confirmed_at_{};
  base::TimePoint frozen_at_{};
  std::optional<flow::FlowCore> core_;
};

}  // namespace gaugevalve::proofs
