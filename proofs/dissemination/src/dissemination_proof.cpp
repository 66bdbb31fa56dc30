// Stateful fuzzing of the control plane in simulated time: edits, kills, restarts, pauses, outages
// of the store, partitions, and lost, duplicated and reordered messages. The oracle is in
// ControlWorld. Two protections are also disabled, one at a time, and the oracle must report the
// violation of exactly the rule that the protection ensures.
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <ostream>
#include <string>

#include "control_world.h"
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

// The oracle is part of the world; every step is allowed in every state. If `rule` is not empty,
// only a violation whose text contains it fails the case.
struct Model {
  std::string rule;
};

void CheckWorld(const ControlWorld& world, const std::string& rule) {
  const bool counts = world.Violation() && world.Violation()->find(rule) != std::string::npos;
  if (counts) {
    RC_FAIL(*world.Violation());
  }
}

using ControlCommand = rc::state::Command<Model, ControlWorld>;

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
        node_(*rc::gen::inRange<std::size_t>(0, ControlWorld::kNodes)),
        number_(*rc::gen::inRange<std::uint32_t>(1, kNumbers)) {}

  void run(const Model& model, ControlWorld& world) const override {  // NOLINT
    Do(world);
    CheckWorld(world, model.rule);
  }

  void show(std::ostream& stream) const override {  // NOLINT
    stream << kind_ << " node=" << node_ << " number=" << number_;
  }

 private:
  static constexpr std::uint32_t kNumbers = 40;

  void Do(ControlWorld& world) const {
    switch (kind_) {
      case StepKind::kEdit:
        world.Edit(node_, number_);
        break;
      case StepKind::kKill:
        world.Kill(node_);
        break;
      case StepKind::kRestart:
        world.Restart(node_);
        break;
      case StepKind::kFreeze:
        world.Freeze(node_);
        break;
      case StepKind::kThaw:
        world.Thaw(node_);
        break;
      case StepKind::kStoreUnavailable:
      case StepKind::kStoreAvailable:
        world.SetStoreAvailable(kind_ == StepKind::kStoreAvailable);
        break;
      case StepKind::kSplitRegions:
        world.SplitRegions();
        break;
      case StepKind::kIsolateNode:
        world.IsolateNode(node_);
        break;
      case StepKind::kHealNetwork:
        world.HealNetwork();
        break;
      case StepKind::kMessageFaults:
        world.SetMessageFaults(number_ * 0.01);
        break;
      case StepKind::kRun:
        world.Run(number_ * std::chrono::milliseconds(500));
        break;
    }
    world.Run(number_ * std::chrono::milliseconds(20));
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

Totals RunCase(ControlWorldSettings settings, const std::string& rule) {
  settings.seed = *rc::gen::arbitrary<std::uint64_t>();
  ControlWorld world(settings);
  rc::state::check(Model{rule}, world, rc::state::gen::execOneOfWithArgs<Perform>());
  world.HealAndSettle();
  CheckWorld(world, rule);
  return {world.Commits(), world.Activations()};
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

ControlWorldSettings AcceptingOlderRecords() {
  ControlWorldSettings settings;
  settings.accept_older_records = true;
  return settings;
}

ControlWorldSettings ActivatingPartially() {
  ControlWorldSettings settings;
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
