// Stateful fuzzing of the balancers' few readers of the store: whoever runs and is served by the
// store has each configuration within the limit, whatever happens to the readers. Each protection
// is also taken away in turn; the rule must then break.
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <array>
#include <memory>
#include <sstream>
#include <string>
#include <utility>

#include "gaugevalve/testing/proof.h"
#include "reader_world.h"

namespace gaugevalve::proofs {
namespace {

struct NamedStep {
  const char* name;
  void (*run)(ReaderWorld& world, std::uint32_t choice);
};

constexpr std::array<NamedStep, 9> kSteps = {{
    {"advance", [](ReaderWorld& world, std::uint32_t) { world.Advance(); }},
    {"rest", [](ReaderWorld& world, std::uint32_t) { world.Rest(); }},
    {"change", [](ReaderWorld& world, std::uint32_t) { world.Change(); }},
    {"restart", [](ReaderWorld& world, std::uint32_t choice) { world.Restart(choice); }},
    {"pause", [](ReaderWorld& world, std::uint32_t choice) { world.Pause(choice); }},
    {"pause readers", [](ReaderWorld& world, std::uint32_t) { world.PauseReaders(); }},
    {"turn away", [](ReaderWorld& world, std::uint32_t choice) { world.TurnAway(choice); }},
    {"turn readers away", [](ReaderWorld& world, std::uint32_t) { world.TurnReadersAway(); }},
    {"cut", [](ReaderWorld& world, std::uint32_t choice) { world.Cut(choice); }},
}};

struct Model {};

using ReaderCommand = rc::state::Command<Model, ReaderWorld>;

class Perform final : public ReaderCommand {
 public:
  Perform()
      : step_(*rc::gen::weightedElement<std::size_t>(
            {{20, 0}, {12, 1}, {4, 2}, {1, 3}, {2, 4}, {1, 5}, {3, 6}, {1, 7}, {4, 8}})),
        choice_(*rc::gen::inRange<std::uint32_t>(0, 1'000'000)) {}

  void run(const Model& /*model*/, ReaderWorld& world) const override {
    kSteps.at(step_).run(world, choice_);
    if (world.Violation()) {
      RC_FAIL(*world.Violation());
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

void Explore(const ReaderWorldSettings& settings, Totals& totals) {
  ReaderWorld world(settings);
  rc::state::check(Model(), world, rc::state::gen::execOneOfWithArgs<Perform>());
  world.Heal();
  totals.changes_seen += world.ChangesSeen();
  totals.calls += world.Calls();
  if (world.Violation()) {
    RC_FAIL(*world.Violation());
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
          [totals] { Explore(ReaderWorldSettings(), *totals); },
          {.counter_example = "", .coverage = coverage}};
}

testing::RegisteredProof IsCaught(std::string name, const ReaderWorldSettings& settings) {
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
    IsCaught("without_telling_refusals_apart", {.tells_refusals_apart = false});

}  // namespace
}  // namespace gaugevalve::proofs
