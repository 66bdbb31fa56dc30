// Stateful property test of LeaseHolder and FencingGate. Invariants: no two holders regard the
// lease as held at the same instant, and a guarded resource never accepts an action of an older
// holder after one of a newer. Each protection is also disabled in turn; the test must then detect
// a violation.
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <memory>
#include <sstream>
#include <string>
#include <utility>

#include "gaugevalve/testing/proof.h"
#include "lease_simulation.h"

namespace gaugevalve::proofs {
namespace {

enum class StepKind : std::uint8_t {
  kAdvanceTime,
  kRunAlone,
  kStep,
  kDeliver,
  kApplyLate,
  kPause,
  kResume,
  kOutageBegins,
  kOutageEnds,
  kDecide,
  kDeliverAction,
  kResign,
  kCampaign,
  kExpireEarly,
};

std::ostream& operator<<(std::ostream& stream, StepKind kind) {
  static constexpr const char* kNames[] = {
      "advance",        "run alone", "step",     "deliver",     "apply late",
      "pause",          "resume",    "outage",   "outage ends", "decide",
      "deliver action", "resign",    "campaign", "expire early"};
  return stream << kNames[static_cast<std::size_t>(kind)];
}

// The oracle is in LeaseSimulation, so the model only tells which commands are allowed.
struct Model {
  bool early_expiry = false;
};

using LeaseCommand = rc::state::Command<Model, LeaseSimulation>;

// One step of the adversary, of any kind.
class Perform final : public LeaseCommand {
 public:
  Perform()
      : kind_(*rc::gen::weightedElement<StepKind>({{6, StepKind::kAdvanceTime},
                                                   {12, StepKind::kRunAlone},
                                                   {10, StepKind::kStep},
                                                   {14, StepKind::kDeliver},
                                                   {2, StepKind::kApplyLate},
                                                   {2, StepKind::kPause},
                                                   {3, StepKind::kResume},
                                                   {1, StepKind::kOutageBegins},
                                                   {2, StepKind::kOutageEnds},
                                                   {14, StepKind::kDecide},
                                                   {12, StepKind::kDeliverAction},
                                                   {1, StepKind::kResign},
                                                   {2, StepKind::kCampaign},
                                                   {1, StepKind::kExpireEarly}})),
        holder_(*rc::gen::inRange<std::size_t>(0, LeaseSimulation::kHolders)),
        number_(*rc::gen::inRange(0, kNumbers)),
        delivery_(*rc::gen::weightedElement<Delivery>({{12, Delivery::kAnswered},
                                                       {1, Delivery::kRefused},
                                                       {1, Delivery::kRequestLost},
                                                       {2, Delivery::kAnswerLost},
                                                       {4, Delivery::kAnswerDelayed},
                                                       {2, Delivery::kAppliedLate}})) {}

  void checkPreconditions(const Model& model) const override {  // NOLINT: rapidcheck's name
    RC_PRE(model.early_expiry || kind_ != StepKind::kExpireEarly);
  }

  void run(const Model& /*model*/, LeaseSimulation& simulation) const override {  // NOLINT
    Do(simulation);
    if (simulation.Violation()) {
      RC_FAIL(*simulation.Violation());
    }
  }

  void show(std::ostream& stream) const override {  // NOLINT
    stream << kind_ << " holder=" << holder_ << " number=" << number_
           << " delivery=" << static_cast<int>(delivery_);
  }

 private:
  static constexpr int kNumbers = 100;

  void Do(LeaseSimulation& simulation) const {
    switch (kind_) {
      case StepKind::kAdvanceTime:
        return simulation.AdvanceTime(number_ * std::chrono::milliseconds(25));
      case StepKind::kRunAlone:
        return simulation.RunAlone(holder_, number_ * std::chrono::milliseconds(100), delivery_);
      case StepKind::kStep:
        return simulation.Step(holder_);
      case StepKind::kDeliver:
        return simulation.Deliver(holder_, delivery_);
      case StepKind::kApplyLate:
        return simulation.ApplyLateRequest();
      case StepKind::kPause:
      case StepKind::kResume:
        return simulation.SetPaused(holder_, kind_ == StepKind::kPause);
      case StepKind::kOutageBegins:
      case StepKind::kOutageEnds:
        return simulation.SetOutage(kind_ == StepKind::kOutageBegins);
      case StepKind::kDecide:
        return simulation.Decide(holder_);
      case StepKind::kDeliverAction:
        return simulation.DeliverAction(static_cast<std::size_t>(number_));
      case StepKind::kResign:
        return simulation.Resign(holder_);
      case StepKind::kCampaign:
        return simulation.Campaign(holder_);
      case StepKind::kExpireEarly:
        return simulation.ExpireLeasesEarly();
    }
  }

  StepKind kind_;
  std::size_t holder_;
  int number_;
  Delivery delivery_;
};

// Sums over all cases of one property.
struct Totals {
  std::size_t acquisitions = 0;
  std::size_t actions_accepted = 0;
  std::size_t actions_refused = 0;
};

void Explore(const LeaseSimulationSettings& settings, Totals& totals) {
  LeaseSimulation simulation(settings);
  Model model;
  model.early_expiry = settings.early_expiry;
  rc::state::check(model, simulation, rc::state::gen::execOneOfWithArgs<Perform>());
  simulation.Heal();
  totals.acquisitions += simulation.Acquisitions();
  totals.actions_accepted += simulation.ActionsAccepted();
  totals.actions_refused += simulation.ActionsRefused();
  if (simulation.Violation()) {
    RC_FAIL(*simulation.Violation());
  }
  RC_ASSERT(simulation.CountBelievingHolders() == 1U);
}

testing::Coverage CoverageOf(const Totals& totals) {
  constexpr std::size_t kEnough = 1000;
  std::ostringstream counts;
  counts << "leases taken " << totals.acquisitions << ", actions taken " << totals.actions_accepted
         << ", actions refused " << totals.actions_refused;
  return {totals.acquisitions > kEnough && totals.actions_accepted > kEnough &&
              totals.actions_refused > 0,
          counts.str()};
}

testing::RegisteredProof Holds(std::string name, const LeaseSimulationSettings& settings) {
  const auto totals = std::make_shared<Totals>();
  return {std::move(name),
          testing::ProofKind::kHolds,
          [settings, totals] { Explore(settings, *totals); },
          {.counter_example = "", .coverage = [totals] { return CoverageOf(*totals); }}};
}

testing::RegisteredProof IsCaught(std::string name, const LeaseSimulationSettings& settings,
                                  std::string counter_example) {
  return {std::move(name),
          testing::ProofKind::kMutantIsCaught,
          [settings] {
            Totals unused;
            Explore(settings, unused);
          },
          {.counter_example = std::move(counter_example), .coverage = nullptr}};
}

const testing::RegisteredProof one_holder =
    Holds("one_holder_at_a_time_and_no_older_action", LeaseSimulationSettings{});
const testing::RegisteredProof early_expiry =
    Holds("no_older_action_even_when_leases_end_early", {.early_expiry = true});
const testing::RegisteredProof without_allowance =
    IsCaught("without_allowance_for_drift", {.assumed_drift = 0}, "believe they hold");
const testing::RegisteredProof without_gate =
    IsCaught("without_gate", {.gate_enabled = false}, "took an action");
const testing::RegisteredProof without_clock =
    IsCaught("without_asking_the_clock", {.check_clock = false}, "believe they hold");

}  // namespace
}  // namespace gaugevalve::proofs
