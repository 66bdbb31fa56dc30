// Stateful fuzzing of the control plane in simulated time: edits, kills, restarts, pauses, outages
// of the store, partitions, and lost, duplicated and reordered messages. The oracle is in
// ControlSimulation. Two protections are also disabled, one at a time, and the oracle must report
// the violation of exactly the rule that the protection ensures.
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <ostream>
#include <string>

#include "control_simulation.h"
#include "gaugevalve/testing/proof.h"

namespace gaugevalve::proofs {
namespace {

enum class StepKind : std::uint8_t {
  kEdit,
  kKill,
  kRestart,
  kFreeze,
  kThaw,
  kStoreUnavailable,
  kStoreAvailable,
  kSplitRegions,
  kIsolateNode,
  kHealNetwork,
  kMessageFaults,
  kRun,
};

std::ostream& operator<<(std::ostream& stream, StepKind kind) {
  static constexpr const char* kNames[] = {"edit",
                                           "kill",
                                           "restart",
                                           "freeze",
                                           "thaw",
                                           "store unavailable",
                                           "store available",
                                           "split",
                                           "isolate",
                                           "heal",
                                           "message faults",
                                           "run"};
  return stream << kNames[static_cast<std::size_t>(kind)];
}

// The oracle is part of the simulation; every step is allowed in every state. If `rule` is not
// empty, only a violation whose text contains it fails the case.
struct Model {
  std::string rule;
};

void CheckSimulation(const ControlSimulation& simulation, const std::string& rule) {
  const bool counts =
      simulation.Violation() && simulation.Violation()->find(rule) != std::string::npos;
  if (counts) {
    RC_FAIL(*simulation.Violation());
  }
}

using ControlCommand = rc::state::Command<Model, ControlSimulation>;

// One fault or other step, followed by a short simulated time.
class Perform final : public ControlCommand {
 public:
  Perform()
      : kind_(*rc::gen::weightedElement<StepKind>({{12, StepKind::kEdit},
                                                   {3, StepKind::kKill},
                                                   {4, StepKind::kRestart},
                                                   {3, StepKind::kFreeze},
                                                   {4, StepKind::kThaw},
                                                   {2, StepKind::kStoreUnavailable},
                                                   {3, StepKind::kStoreAvailable},
                                                   {2, StepKind::kSplitRegions},
                                                   {2, StepKind::kIsolateNode},
                                                   {3, StepKind::kHealNetwork},
                                                   {2, StepKind::kMessageFaults},
                                                   {4, StepKind::kRun}})),
        node_(*rc::gen::inRange<std::size_t>(0, ControlSimulation::kNodes)),
        number_(*rc::gen::inRange<std::uint32_t>(1, kNumbers)) {}

  void run(const Model& model, ControlSimulation& simulation) const override {  // NOLINT
    Do(simulation);
    CheckSimulation(simulation, model.rule);
  }

  void show(std::ostream& stream) const override {  // NOLINT
    stream << kind_ << " node=" << node_ << " number=" << number_;
  }

 private:
  static constexpr std::uint32_t kNumbers = 40;

  void Do(ControlSimulation& simulation) const {
    switch (kind_) {
      case StepKind::kEdit:
        simulation.Edit(node_, number_);
        break;
      case StepKind::kKill:
        simulation.Kill(node_);
        break;
      case StepKind::kRestart:
        simulation.Restart(node_);
        break;
      case StepKind::kFreeze:
        simulation.Freeze(node_);
        break;
      case StepKind::kThaw:
        simulation.Thaw(node_);
        break;
      case StepKind::kStoreUnavailable:
      case StepKind::kStoreAvailable:
        simulation.SetStoreAvailable(kind_ == StepKind::kStoreAvailable);
        break;
      case StepKind::kSplitRegions:
        simulation.SplitRegions();
        break;
      case StepKind::kIsolateNode:
        simulation.IsolateNode(node_);
        break;
      case StepKind::kHealNetwork:
        simulation.HealNetwork();
        break;
      case StepKind::kMessageFaults:
        simulation.SetMessageFaults(number_ * 0.01);
        break;
      case StepKind::kRun:
        simulation.Run(number_ * std::chrono::milliseconds(500));
        break;
    }
    simulation.Run(number_ * std::chrono::milliseconds(20));
  }

  StepKind kind_;
  std::size_t node_;
  std::uint32_t number_;
};

// Counts of what the cases of a property did, to show that it was not trivially true.
struct Totals {
  std::size_t commits = 0;
  std::size_t activations = 0;
};

// The totals of the property without injected faults.
Totals& TotalsOfAllCases() {
  static Totals totals;
  return totals;
}

Totals RunCase(ControlSimulationSettings settings, const std::string& rule) {
  settings.seed = *rc::gen::arbitrary<std::uint64_t>();
  ControlSimulation simulation(settings);
  rc::state::check(Model{rule}, simulation, rc::state::gen::execOneOfWithArgs<Perform>());
  simulation.HealAndSettle();
  CheckSimulation(simulation, rule);
  return {simulation.Commits(), simulation.Activations()};
}

void RevisionsAreAtomicMonotonicAndConverge() {
  const Totals totals = RunCase({}, "");
  TotalsOfAllCases().commits += totals.commits;
  TotalsOfAllCases().activations += totals.activations;
}

// Fails if the preceding cases had too few edits to be meaningful.
void CasesHadEdits() {
  constexpr std::size_t kMinimumCommits = 200;
  constexpr std::size_t kMinimumActivations = 1000;  // about five balancers activate each commit
  RC_ASSERT(TotalsOfAllCases().commits > kMinimumCommits);
  RC_ASSERT(TotalsOfAllCases().activations > kMinimumActivations);
}

ControlSimulationSettings AcceptingOlderRecords() {
  ControlSimulationSettings settings;
  settings.accept_older_records = true;
  return settings;
}

ControlSimulationSettings ActivatingPartially() {
  ControlSimulationSettings settings;
  settings.activate_partially = true;
  return settings;
}

using testing::ProofKind;
using testing::RegisteredProof;

const RegisteredProof holds("whole, never back, everywhere", ProofKind::kHolds,
                            RevisionsAreAtomicMonotonicAndConverge);
const RegisteredProof had_edits("the cases had edits", ProofKind::kHolds, CasesHadEdits);
const RegisteredProof older_records("older records are accepted", ProofKind::kMutantIsCaught,
                                    [] { RunCase(AcceptingOlderRecords(), "went back"); });
const RegisteredProof partial_activation("revisions are activated in part",
                                         ProofKind::kMutantIsCaught, [] {
                                           RunCase(ActivatingPartially(), "a mix of revisions");
                                         });

}  // namespace
}  // namespace gaugevalve::proofs
