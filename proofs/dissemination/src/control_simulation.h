// A small deployment under faults, with an oracle that knows every committed revision.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "gaugevalve/control_simulation/hollow_deployment.h"
#include "gaugevalve/simulation/simulator.h"

namespace gaugevalve::proofs {

// Settings of a simulation. The flags disable protections, to show that the oracle detects it.
struct ControlSimulationSettings {
  std::uint64_t seed = 1;
  bool accept_older_records = false;
  bool activate_partially = false;
};

// Five balancers and two services with two agents each, in three zones of two regions. Every step
// runs some simulated time and checks these rules:
// - a balancer's active revision is a committed one, with exactly the settings that were committed;
// - within the run of a process, neither the active revision nor the version of a table decreases.
class ControlSimulation {
 public:
  static constexpr std::size_t kBalancers = 5;
  static constexpr std::size_t kServices = 2;
  static constexpr std::size_t kAgentsPerService = 2;
  static constexpr std::size_t kNodes = kBalancers + kServices * kAgentsPerService;

  explicit ControlSimulation(const ControlSimulationSettings& settings);

  // Faults and other steps. A step that does not apply in the current state has no effect.
  void Edit(std::size_t service, std::uint32_t weight);
  void Kill(std::size_t node);  // the last running balancer is kept, because the newest revision
                                // could be lost with it
  void Restart(std::size_t node);
  void Freeze(std::size_t node);
  void Thaw(std::size_t node);
  void SetStoreAvailable(bool available);
  void SplitRegions();
  void IsolateNode(std::size_t node);
  void HealNetwork();
  void SetMessageFaults(double probability);
  void Run(base::Duration duration);

  // Ends all faults and runs until all balancers have the newest revision and all nodes have the
  // same table for each service. Reports a violation if that takes more than two minutes.
  void HealAndSettle();

  // Returns the first violation of a rule, or nothing.
  const std::optional<std::string>& Violation() const { return violation_; }

  std::size_t Commits() const { return commits_; }
  std::size_t Activations() const { return activations_; }

 private:
  // What a process of a node had at the last check.
  struct ObservedState {
    base::Incarnation process_incarnation;
    base::Revision revision;
    std::map<base::ServiceId, routing::TableVersion> tables;
  };

  bool IsLive(std::size_t node) const;
  std::size_t RunningBalancers() const;
  void Check();
  void CheckNode(std::size_t node);
  void CheckSettings(std::size_t node, const control::ActiveSettings& active, ObservedState& seen);
  void CheckTables(std::size_t node, ObservedState& seen);
  bool HasSettled();
  void RecordViolation(std::size_t node, const std::string& rule);

  simulation::Simulator simulator_;
  control_simulation::HollowDeployment nodes_;
  std::map<std::size_t, ObservedState> seen_;
  std::optional<std::string> violation_;
  base::Revision newest_{1};
  std::size_t commits_ = 1;
  std::size_t activations_ = 0;
};

}  // namespace gaugevalve::proofs
