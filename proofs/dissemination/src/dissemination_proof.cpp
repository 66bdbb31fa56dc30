// Stateful fuzzing of the control plane: edits, kills, restarts, pauses, outages of the store,
// splits and lost, repeated and reordered messages, in simulated time. The oracle is in
// ControlWorld. Two protections are also taken away in turn; the oracle must then see a rule
// broken.
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <cstdlib>
#include <iostream>
#include <memory>
#include <sstream>

#include "control_world.h"

namespace gaugevalve::proofs {
namespace {

enum class StepKind : std::uint8_t {
  kEdit,
  kKill,
  kRestart,
  kFreeze,
  kThaw,
  kStoreAway,
  kStoreBack,
  kSplitRegions,
  kIsolateNode,
  kHealNetwork,
  kMessageFaults,
  kRun,
};

std::ostream& operator<<(std::ostream& stream, StepKind kind) {
  static constexpr const char* kNames[] = {"edit",    "kill",       "restart",        "freeze",
                                           "thaw",    "store away", "store back",     "split",
                                           "isolate", "heal",       "message faults", "run"};
  return stream << kNames[static_cast<std::size_t>(kind)];
}

// The oracle is in the world; any step may come at any time.
struct Model {};

using ControlCommand = rc::state::Command<Model, ControlWorld>;

// One step of the adversary, and a little time.
class Perform final : public ControlCommand {
 public:
  Perform()
      : kind_(*rc::gen::weightedElement<StepKind>({{12, StepKind::kEdit},
                                                   {3, StepKind::kKill},
                                                   {4, StepKind::kRestart},
                                                   {3, StepKind::kFreeze},
                                                   {4, StepKind::kThaw},
                                                   {2, StepKind::kStoreAway},
                                                   {3, StepKind::kStoreBack},
                                                   {2, StepKind::kSplitRegions},
                                                   {2, StepKind::kIsolateNode},
                                                   {3, StepKind::kHealNetwork},
                                                   {2, StepKind::kMessageFaults},
                                                   {4, StepKind::kRun}})),
        node_(*rc::gen::inRange<std::size_t>(0, ControlWorld::kNodes)),
        number_(*rc::gen::inRange<std::uint32_t>(1, kNumbers)) {}

  void run(const Model& /*model*/, ControlWorld& world) const override {  // NOLINT
    Do(world);
    if (world.Violation()) {
      RC_FAIL(*world.Violation());
    }
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
      case StepKind::kStoreAway:
      case StepKind::kStoreBack:
        world.SetStoreAvailable(kind_ == StepKind::kStoreBack);
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

// What the cases of one property did, to show that it wasn't about nothing.
struct Totals {
  std::size_t commits = 0;
  std::size_t activations = 0;
};

// A longer search is asked for by GAUGEVALVE_PROOF_CASES and GAUGEVALVE_PROOF_SEED.
constexpr std::uint64_t kDefaultSeed = 20'261'202;
constexpr std::uint64_t kDefaultCases = 60;
constexpr int kMostSteps = 80;

std::uint64_t FromEnvironment(const char* name, std::uint64_t otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

std::uint64_t Seed() { return FromEnvironment("GAUGEVALVE_PROOF_SEED", kDefaultSeed); }

int Cases() { return static_cast<int>(FromEnvironment("GAUGEVALVE_PROOF_CASES", kDefaultCases)); }

rc::detail::TestResult Explore(ControlWorldSettings settings, Totals& totals) {
  rc::detail::TestParams parameters;
  parameters.seed = Seed();
  parameters.maxSuccess = Cases();
  parameters.maxSize = kMostSteps;
  const auto property = [&] {
    settings.seed = *rc::gen::arbitrary<std::uint64_t>();
    ControlWorld world(settings);
    rc::state::check(Model(), world, rc::state::gen::execOneOfWithArgs<Perform>());
    world.HealAndSettle();
    totals.commits += world.Commits();
    totals.activations += world.Activations();
    if (world.Violation()) {
      RC_FAIL(*world.Violation());
    }
  };
  return rc::detail::checkTestable(property, rc::detail::TestMetadata(), parameters);
}

std::string Describe(const rc::detail::TestResult& result, const Totals& totals) {
  std::ostringstream words;
  rc::detail::printResultMessage(result, words);
  words << "\nseed " << Seed() << ", commits " << totals.commits << ", activations "
        << totals.activations << '\n';
  return words.str();
}

class DisseminationProof : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DisseminationProof);
  CPPUNIT_TEST(WholeNeverBackAndEverywhere);
  CPPUNIT_TEST(CatchesOlderRecords);
  CPPUNIT_TEST(CatchesPartialActivation);
  CPPUNIT_TEST_SUITE_END();

 public:
  void WholeNeverBackAndEverywhere() {
    Totals totals;
    const rc::detail::TestResult result = Explore({}, totals);
    std::cout << Describe(result, totals);
    CPPUNIT_ASSERT_MESSAGE(Describe(result, totals), result.is<rc::detail::SuccessResult>());
    CPPUNIT_ASSERT(totals.commits > 200);
    CPPUNIT_ASSERT(totals.activations > 1000);  // about five balancers for each
  }

  void CatchesOlderRecords() {
    ControlWorldSettings settings;
    settings.accept_older_records = true;
    MustBreak(settings, "went back");
  }

  void CatchesPartialActivation() {
    ControlWorldSettings settings;
    settings.activate_partially = true;
    MustBreak(settings, "a mix of revisions");
  }

 private:
  static void MustBreak(const ControlWorldSettings& settings, const std::string& words) {
    Totals totals;
    const rc::detail::TestResult result = Explore(settings, totals);
    const std::string description = Describe(result, totals);
    CPPUNIT_ASSERT_MESSAGE(description, result.is<rc::detail::FailureResult>());
    CPPUNIT_ASSERT_MESSAGE(description, description.find(words) != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DisseminationProof);

}  // namespace
}  // namespace gaugevalve::proofs
