// An agent of the simulation: a flow core whose process can be frozen, crashed and restarted.
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

// State of the agent's process.
enum class ProcessState : std::uint8_t { kRunning, kFrozen, kGone };

// One agent, identified by its node id. Each Start() creates a new incarnation that keeps nothing
// of the previous one.
class SimulatedAgent {
 public:
  SimulatedAgent(base::NodeId node, Mutant mutant) : node_(node), mutant_(mutant) {}

  // Starts a new incarnation, larger than the previous one, as an agent of `service`.
  void Start(base::ServiceId service);

  void Freeze(base::TimePoint now);
  void Thaw() { state_ = state_ == ProcessState::kFrozen ? ProcessState::kRunning : state_; }
  void Crash();

  // Applies a table that was current at `confirmed_at`. The process must be running.
  void UpdateTable(const routing::BucketTable& table, base::TimePoint confirmed_at);

  // Decides on a datagram. The process must be running.
  flow::FlowAction Decide(const wire::FlowKey& key, wire::ForwardingHeader& header,
                          base::TimePoint now);

  void StartDraining(base::TimePoint now);
  void Tick(base::TimePoint now);
  routing::AgentReport Report() const;

  // Returns whether this incarnation has the flow open; false if the process is gone.
  bool Holds(const wire::FlowKey& key) const;

  // Returns whether this incarnation has applied a table at least as new as `version`.
  bool HasTable(const routing::TableVersion& version) const;

  base::NodeId Node() const { return node_; }
  base::Incarnation CurrentIncarnation() const { return incarnation_; }
  base::ServiceId Service() const { return service_; }
  ProcessState State() const { return state_; }
  bool IsRunning() const { return state_ == ProcessState::kRunning; }
  bool IsDraining() const { return core_ && core_->Ownership().IsDraining(); }

  // Returns whether the process is frozen for so long that it will detect the pause when it thaws.
  bool IsFrozenForLong(base::TimePoint now) const;

  // Latest time at which a table applied by this incarnation was current.
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
