// Stateful fuzzing of the few balancers that read the store. Invariant under restarts, pauses,
// rejections and broken links: each balancer that runs and is served by the store has each
// configuration within the limit. Each mutant disables one protection and must violate it.
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <array>
#include <memory>
#include <sstream>
#include <string>
#include <utility>

#include "gaugevalve/testing/proof.h"
#include "reader_simulation.h"

namespace gaugevalve::proofs {
namespace {

struct NamedStep {
  const char* name;
  void (*run)(ReaderSimulation& simulation, std::uint32_t choice);
};

constexpr std::array<NamedStep, 10> kSteps = {{
    {"advance", [](ReaderSimulation& simulation, std::uint32_t) { simulation.Advance(); }},
    {"rest", [](ReaderSimulation& simulation, std::uint32_t) { simulation.AdvanceOneSecond(); }},
    {"change", [](ReaderSimulation& simulation, std::uint32_t) { simulation.Change(); }},
    {"restart",
     [](ReaderSimulation& simulation, std::uint32_t choice) { simulation.Restart(choice); }},
    {"pause", [](ReaderSimulation& simulation, std::uint32_t choice) { simulation.Pause(choice); }},
    {"pause readers",
     [](ReaderSimulation& simulation, std::uint32_t) { simulation.PauseReaders(); }},
    {"turn away", [](ReaderSimulation& simulation,
                     std::uint32_t choice) { simulation.ToggleStoreRejection(choice); }},
    {"turn readers away",
     [](ReaderSimulation& simulation, std::uint32_t) { simulation.RejectReadersAtStore(); }},
    {"silence",
     [](ReaderSimulation& simulation, std::uint32_t) { simulation.ToggleStoreSilence(); }},
    {"cut",
     [](ReaderSimulation& simulation, std::uint32_t choice) { simulation.ToggleLink(choice); }},
}};

struct Model {};

using ReaderCommand = rc::state::Command<Model, ReaderSimulation>;

class Perform final : public ReaderCommand {
 public:
  Perform()
      : step_(*rc::gen::weightedElement<std::size_t>(
            {{20, 0}, {12, 1}, {4, 2}, {1, 3}, {2, 4}, {1, 5}, {3, 6}, {1, 7}, {1, 8}, {4, 9}})),
        choice_(*rc::gen::inRange<std::uint32_t>(0, 1'000'000)) {}

  void run(const Model& /*model*/, ReaderSimulation& simulation) const override {
    kSteps.at(step_).run(simulation, choice_);
    if (simulation.Violation()) {
      RC_FAIL(*simulation.Violation());
    }
  }

  void show(std::ostream& stream) const override {
    stream << kSteps.at(step_).name << " " << choice_;
  }

 private:
  std::size_t step_;
  std::uint32_t choice_;
};

struct Totals {
  std::size_t changes_seen = 0;
  std::size_t calls = 0;
};

void Explore(const ReaderSimulationSettings& settings, Totals& totals) {
  ReaderSimulation simulation(settings);
  rc::state::check(Model(), simulation, rc::state::gen::execOneOfWithArgs<Perform>());
  simulation.EndFaultsAndSettle();
  totals.changes_seen += simulation.ChangesSeen();
  totals.calls += simulation.Calls();
  if (simulation.Violation()) {
    RC_FAIL(*simulation.Violation());
  }
}

testing::RegisteredProof Holds(std::string name) {
  const auto totals = std::make_shared<Totals>();
  const auto coverage = [totals] {
    constexpr std::size_t kEnough = 1000;
    std::ostringstream counts;
    counts << "versions put in force " << totals->changes_seen << ", calls of the store "
           << totals->calls;
    return testing::Coverage{totals->changes_seen > kEnough && totals->calls > kEnough,
                             counts.str()};
  };
  return {std::move(name),
          testing::ProofKind::kHolds,
          [totals] { Explore(ReaderSimulationSettings(), *totals); },
          {.counter_example = "", .coverage = coverage}};
}

testing::RegisteredProof IsCaught(std::string name, const ReaderSimulationSettings& settings) {
  return {std::move(name),
          testing::ProofKind::kMutantIsCaught,
          [settings] {
            Totals unused;
            Explore(settings, unused);
          },
          {.counter_example = "no news", .coverage = nullptr}};
}

const testing::RegisteredProof news_come = Holds("news_come_within_the_limit");
const testing::RegisteredProof without_take_over =
    IsCaught("without_taking_over", {.change_limit = std::chrono::seconds(60)});
const testing::RegisteredProof without_refusals =
    IsCaught("without_telling_refusals_apart", {.detects_failed_calls = false});

}  // namespace
}  // namespace gaugevalve::proofs
