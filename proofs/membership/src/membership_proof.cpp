// Stateful fuzzing of the membership core. At every moment, no view may go back to an older record.
// After the faults end, every view must become correct. Protections such as refutation and the
// order of incarnations are then disabled one at a time, and the oracle must report the violation
// of the corresponding rule.
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "gaugevalve/testing/proof.h"
#include "membership_simulation.h"

namespace gaugevalve::proofs {
namespace {

enum class StepKind : std::uint8_t {
  kRun,
  kKill,
  kRestart,
  kFreeze,
  kThaw,
  kLeave,
  kToggleLeavingFlag,
  kIsolate,
  kBlockOneWay,
  kSplitRegions,
  kEndPartitions,
  kSetMessageFaults,
};

std::ostream& operator<<(std::ostream& stream, StepKind kind) {
  static constexpr const char* kNames[] = {"run",
                                           "kill",
                                           "restart",
                                           "freeze",
                                           "thaw",
                                           "leave",
                                           "toggle leaving flag",
                                           "isolate",
                                           "block one way",
                                           "split regions",
                                           "end partitions",
                                           "message faults"};
  return stream << kNames[static_cast<std::size_t>(kind)];
}

// The oracle is part of the simulation; every step is allowed in every state.
struct Model {};

using MembershipCommand = rc::state::Command<Model, MembershipSimulation>;

// One fault or other step, followed by some simulated time.
class Perform final : public MembershipCommand {
 public:
  Perform()
      : kind_(*rc::gen::weightedElement<StepKind>({{8, StepKind::kRun},
                                                   {3, StepKind::kKill},
                                                   {4, StepKind::kRestart},
                                                   {3, StepKind::kFreeze},
                                                   {3, StepKind::kThaw},
                                                   {1, StepKind::kLeave},
                                                   {2, StepKind::kToggleLeavingFlag},
                                                   {2, StepKind::kIsolate},
                                                   {2, StepKind::kBlockOneWay},
                                                   {1, StepKind::kSplitRegions},
                                                   {3, StepKind::kEndPartitions},
                                                   {2, StepKind::kSetMessageFaults}})),
        member_(*rc::gen::inRange<std::size_t>(0, MembershipSimulation::kMembers)),
        other_(*rc::gen::inRange<std::size_t>(0, MembershipSimulation::kMembers)),
        number_(*rc::gen::inRange(1, kNumbers)) {}

  void run(const Model& /*model*/, MembershipSimulation& simulation) const override {  // NOLINT
    if (simulation.Violation()) {
      return;  // reported at the end of the case
    }
    Do(simulation);
    // Short after most steps, so that faults overlap; long after kRun steps, so that members can be
    // declared dead.
    const bool is_long = kind_ == StepKind::kRun;
    simulation.Run(number_ *
                   (is_long ? std::chrono::milliseconds(100) : std::chrono::milliseconds(5)));
  }

  void show(std::ostream& stream) const override {  // NOLINT: name required by rapidcheck
    stream << kind_ << " member=" << member_ << " other=" << other_ << " number=" << number_;
  }

 private:
  static constexpr int kNumbers = 100;
  static constexpr double kMaximumFaultProbability = 0.3;

  void Do(MembershipSimulation& simulation) const {
    switch (kind_) {
      case StepKind::kRun:
        return;
      case StepKind::kKill:
        return simulation.Kill(member_);
      case StepKind::kRestart:
        return simulation.Restart(member_);
      case StepKind::kFreeze:
        return simulation.Freeze(member_);
      case StepKind::kThaw:
        return simulation.Thaw(member_);
      case StepKind::kLeave:
        return simulation.Leave(member_);
      case StepKind::kToggleLeavingFlag:
        return simulation.ToggleLeavingFlag(member_);
      case StepKind::kIsolate:
        return simulation.Isolate(member_);
      case StepKind::kBlockOneWay:
        return simulation.BlockOneWay(member_, other_);
      case StepKind::kSplitRegions:
        return simulation.SplitRegions();
      case StepKind::kEndPartitions:
        return simulation.EndPartitions();
      case StepKind::kSetMessageFaults:
        return simulation.SetMessageFaults(kMaximumFaultProbability * number_ / kNumbers);
    }
  }

  StepKind kind_;
  std::size_t member_;
  std::size_t other_;
  int number_;
};

// Runs one generated case and returns the first violation.
std::optional<std::string> RunCase(const membership::InjectedFaults& faults,
                                   MembershipTotals& totals) {
  MembershipSimulation simulation(*rc::gen::arbitrary<std::uint64_t>(), faults);
  rc::state::check(Model{}, simulation, rc::state::gen::execOneOfWithArgs<Perform>());
  if (!simulation.Violation()) {
    simulation.Heal();
  }
  totals.deaths_reported += simulation.Totals().deaths_reported;
  totals.recoveries += simulation.Totals().recoveries;
  totals.restarts += simulation.Totals().restarts;
  totals.self_death_reports += simulation.Totals().self_death_reports;
  return simulation.Violation();
}

// Fails if too few of the events that the proof is about occurred.
void ExpectFaultsTookPlace(const MembershipTotals& totals, std::size_t cases) {
  constexpr std::size_t kEnoughCases = 200;
  constexpr std::size_t kCasesPerRecovery = 10;
  if (cases < kEnoughCases) {
    return;
  }
  RC_ASSERT(totals.deaths_reported > cases);
  RC_ASSERT(totals.recoveries > cases / kCasesPerRecovery);
  RC_ASSERT(totals.restarts > cases / kCasesPerRecovery);
  RC_ASSERT(totals.self_death_reports > cases / kCasesPerRecovery);
}

void ViewsNeverRegressAndConverge() {
  static MembershipTotals totals;
  static std::size_t cases = 0;
  static bool is_shrinking =
      false;  // the shrunk cases of a failure do not count towards the totals
  const std::optional<std::string> violation = RunCase({}, totals);
  if (violation) {
    is_shrinking = true;
    RC_FAIL(*violation);
  }
  if (!is_shrinking) {
    ExpectFaultsTookPlace(totals, ++cases);
  }
}

// Returns a property that fails only on a violation of this rule. Other violations would not show
// that the rule is checked.
std::function<void()> ViolatesRule(const membership::InjectedFaults& faults, std::string rule) {
  return [faults, rule = std::move(rule)] {
    MembershipTotals totals;
    const std::optional<std::string> violation = RunCase(faults, totals);
    if (violation && violation->find(rule) != std::string::npos) {
      RC_FAIL(*violation);
    }
  };
}

using testing::ProofKind;

const testing::RegisteredProof views_proof("views_never_get_older_and_become_true",
                                           ProofKind::kHolds, ViewsNeverRegressAndConverge);
const testing::RegisteredProof no_refutation_proof("without_refutation", ProofKind::kMutantIsCaught,
                                                   ViolatesRule({.never_refute = true},
                                                                "views did not converge"));
const testing::RegisteredProof no_order_proof("without_order_of_incarnations",
                                              ProofKind::kMutantIsCaught,
                                              ViolatesRule({.accept_older_incarnations = true},
                                                           "a view went back to an older record"));
const testing::RegisteredProof any_base_proof(
    "without_comparing_the_bases_of_groups", ProofKind::kMutantIsCaught,
    ViolatesRule({.trust_any_group_base = true},
                 "a view has an incarnation that the member never announced"));
const testing::RegisteredProof no_budget_proof(
    "without_the_budget_of_bytes", ProofKind::kMutantIsCaught,
    ViolatesRule({.ignore_byte_budget = true}, "sent more bytes in one second than the budget"));

}  // namespace
}  // namespace gaugevalve::proofs
