// Stateful fuzzing of the agents' flow cores. Checks that no flow is ever served by two agents,
// whatever the network, the planner, the machines and the clocks do. Each protection is also
// disabled in turn; the oracle must then report a violation, which shows that the check is
// effective.
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <array>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>

#include "flow_simulation.h"

namespace gaugevalve::proofs {
namespace {

constexpr std::uint64_t kSeed = 20261202;
constexpr int kSequences = 20'000;
constexpr int kMutantSequences = 20'000;  // maximum; the first violation ends the search
constexpr int kMaxSequenceLength = 160;
constexpr int kNumberRange = 64;

// Returns the number in an environment variable, which allows longer searches and other seeds, or
// the default that CI uses.
std::uint64_t NumberFromEnvironment(const char* variable, std::uint64_t default_value) {
  const char* const text = std::getenv(variable);
  return text == nullptr ? default_value : std::stoull(text);
}

enum class StepKind : std::uint8_t {
  kSend,
  kDeliver,
  kDeliverLatest,
  kDuplicate,
  kLose,
  kMove,
  kDeclareDead,
  kList,
  kSendTable,
  kSetBalancerTable,
  kSendReport,
  kDrain,
  kFreeze,
  kThaw,
  kCrash,
  kRestart,
  kReassignToOtherService,
  kAdvanceTime,
  kSettleAndCheck,
};

std::ostream& operator<<(std::ostream& stream, StepKind kind) {
  static constexpr std::array kNames{
      "send",  "deliver",    "deliver latest", "duplicate",    "lose",  "move",   "declare dead",
      "list",  "send table", "balancer",       "report",       "drain", "freeze", "thaw",
      "crash", "restart",    "recycle",        "advance time", "settle"};
  return stream << kNames.at(static_cast<std::size_t>(kind));
}

// The oracle is part of the simulation; any step may follow any other.
struct Model {};

using SimulationCommand = rc::state::Command<Model, FlowSimulation>;

// One step of the adversary.
class Step final : public SimulationCommand {
 public:
  Step()
      : kind_(*rc::gen::weightedElement<StepKind>({{14, StepKind::kSend},
                                                   {10, StepKind::kDeliver},
                                                   {20, StepKind::kDeliverLatest},
                                                   {2, StepKind::kDuplicate},
                                                   {1, StepKind::kLose},
                                                   {6, StepKind::kMove},
                                                   {2, StepKind::kDeclareDead},
                                                   {3, StepKind::kList},
                                                   {10, StepKind::kSendTable},
                                                   {5, StepKind::kSetBalancerTable},
                                                   {5, StepKind::kSendReport},
                                                   {1, StepKind::kDrain},
                                                   {2, StepKind::kFreeze},
                                                   {3, StepKind::kThaw},
                                                   {1, StepKind::kCrash},
                                                   {2, StepKind::kRestart},
                                                   {1, StepKind::kReassignToOtherService},
                                                   {4, StepKind::kAdvanceTime},
                                                   {1, StepKind::kSettleAndCheck}})),
        agent_(*rc::gen::inRange<std::size_t>(0, FlowSimulation::kAgents)),
        other_(*rc::gen::inRange<std::size_t>(0, FlowSimulation::kBalancers)),
        number_(*rc::gen::inRange<std::size_t>(0, kNumberRange)),
        age_(*rc::gen::weightedElement<std::size_t>({{8, 0}, {2, 1}, {1, 2}, {1, 5}})) {}

  void run(const Model& /*model*/, FlowSimulation& simulation) const override {  // NOLINT: its name
    Apply(simulation);
    if (simulation.Violation()) {
      RC_FAIL(*simulation.Violation());
    }
  }

  void show(std::ostream& stream) const override {  // NOLINT: rapidcheck's name
    stream << kind_ << " agent/flow=" << agent_ << " balancer/bucket=" << other_
           << " number=" << number_ << " age=" << age_;
  }

 private:
  void Apply(FlowSimulation& simulation) const {
    switch (kind_) {
      case StepKind::kSend:
        return simulation.Send(agent_, other_);
      case StepKind::kDeliver:
        return simulation.Deliver(number_);
      case StepKind::kDeliverLatest:
        return simulation.DeliverLatest();
      case StepKind::kDuplicate:
        return simulation.Duplicate(number_);
      case StepKind::kLose:
        return simulation.Lose(number_);
      case StepKind::kMove:
        return simulation.Move(other_, agent_);
      case StepKind::kDeclareDead:
        return simulation.DeclareDead(agent_);
      case StepKind::kList:
        return simulation.List(agent_);
      case StepKind::kSendTable:
        return simulation.SendTable(agent_, age_);
      case StepKind::kSetBalancerTable:
        return simulation.SetBalancerTable(other_, age_);
      case StepKind::kSendReport:
        return simulation.SendReport(agent_);
      default:
        return ApplyToMachine(simulation);
    }
  }

  void ApplyToMachine(FlowSimulation& simulation) const {
    switch (kind_) {
      case StepKind::kDrain:
        return simulation.Drain(agent_);
      case StepKind::kFreeze:
        return simulation.Freeze(agent_);
      case StepKind::kThaw:
        return simulation.Thaw(agent_);
      case StepKind::kCrash:
        return simulation.Crash(agent_);
      case StepKind::kRestart:
        return simulation.Restart(agent_);
      case StepKind::kReassignToOtherService:
        return simulation.ReassignToOtherService(agent_);
      case StepKind::kAdvanceTime:
        return simulation.AdvanceTime(std::chrono::milliseconds(100 * (number_ + 1)));
      default:
        return simulation.SettleAndCheck();
    }
  }

  StepKind kind_;
  std::size_t agent_;
  std::size_t other_;
  std::size_t number_;
  std::size_t age_;
};

// Runs random sequences and returns the result of RapidCheck.
rc::detail::TestResult Search(Mutant mutant, int sequences, bool shrink, SimulationCounts& counts) {
  rc::detail::TestParams params;
  params.seed = NumberFromEnvironment("FLOW_OWNERSHIP_SEED", kSeed);
  params.maxSuccess = sequences;
  params.maxSize = kMaxSequenceLength;
  params.disableShrinking = !shrink;
  const auto property = [&] {
    FlowSimulation simulation(mutant);
    rc::state::check(Model(), simulation,
                     [](const Model&) { return rc::state::gen::execOneOfWithArgs<Step>()(); });
    simulation.SettleAndCheck();
    if (simulation.Violation()) {
      RC_FAIL(*simulation.Violation());
    }
    counts.Add(simulation.Counts());
  };
  return rc::detail::checkTestable(property, rc::detail::TestMetadata(), params);
}

class FlowOwnershipProof : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FlowOwnershipProof);
  CPPUNIT_TEST(OnlyOneAgentServesAFlow);
  CPPUNIT_TEST(SkippingTheChainWalkIsDetected);
  CPPUNIT_TEST(ForgettingCarriedEntriesIsDetected);
  CPPUNIT_TEST(IgnoringOtherClaimsIsDetected);
  CPPUNIT_TEST(TrustingHeldFlowsIsDetected);
  CPPUNIT_TEST(IgnoringFreshnessIsDetected);
  CPPUNIT_TEST(IgnoringPausesIsDetected);
  CPPUNIT_TEST(IgnoringIncarnationsIsDetected);
  CPPUNIT_TEST(AcceptingForeignDatagramsIsDetected);
  CPPUNIT_TEST(DeclaringDeadAtOnceIsDetected);
  CPPUNIT_TEST(TrustingOldReportsIsDetected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OnlyOneAgentServesAFlow() {
    SimulationCounts counts;
    const int sequences =
        static_cast<int>(NumberFromEnvironment("FLOW_OWNERSHIP_SEQUENCES", kSequences));
    const rc::detail::TestResult result = Search(Mutant::kNone, sequences, true, counts);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    CPPUNIT_ASSERT_MESSAGE(text.str(), result.is<rc::detail::SuccessResult>());
    Print(sequences, counts);
    CPPUNIT_ASSERT(counts.opened > 0 && counts.served_on_walk > 0 && counts.recovered > 0);
    for (const flow::DropReason reason :
         {flow::DropReason::kForeignService, flow::DropReason::kStaleTable,
          flow::DropReason::kNotListed, flow::DropReason::kDraining}) {
      CPPUNIT_ASSERT(counts.dropped.at(static_cast<std::size_t>(reason)) > 0);
    }
  }

  void SkippingTheChainWalkIsDetected() {
    AssertDetected(Mutant::kSkipsChainWalk, "opened the flow of agent");
  }
  void ForgettingCarriedEntriesIsDetected() {
    AssertDetected(Mutant::kForgetsCarriedEntry, "opened the flow of agent");
  }
  void IgnoringOtherClaimsIsDetected() {
    AssertDetected(Mutant::kIgnoresOtherClaims, "served the flow of agent");
  }
  void TrustingHeldFlowsIsDetected() {
    AssertDetected(Mutant::kTrustsHeldFlows, "the flow of agent");
  }
  void IgnoringFreshnessIsDetected() { AssertDetected(Mutant::kIgnoresFreshness, "out of date"); }
  void IgnoringPausesIsDetected() { AssertDetected(Mutant::kIgnoresPause, "opened a flow"); }

  // The random search rarely finds this sequence, so its steps are fixed: an agent acknowledges
  // that it lost a bucket, reports that it holds no flow there, and restarts. Its new incarnation
  // then receives an old table.
  void IgnoringIncarnationsIsDetected() {
    CPPUNIT_ASSERT(!RestartWithOldTable(Mutant::kNone));
    CPPUNIT_ASSERT_EQUAL(std::string("agent 1 opened the flow of agent 0"),
                         RestartWithOldTable(Mutant::kIgnoresIncarnation).value_or("nothing"));
  }

  void AcceptingForeignDatagramsIsDetected() {
    AssertDetected(Mutant::kAcceptsForeign, "of another service");
  }
  void DeclaringDeadAtOnceIsDetected() {
    AssertDetected(Mutant::kDeclaresDeadAtOnce,
                   "was declared dead, has not learned of it and opened");
  }
  void TrustingOldReportsIsDetected() {
    AssertDetected(Mutant::kTrustsOldReports, "opened the flow of agent");
  }

 private:
  static void AssertDetected(Mutant mutant, const std::string& rule) {
    SimulationCounts counts;
    const rc::detail::TestResult result = Search(mutant, kMutantSequences, false, counts);
    const bool is_failure = result.is<rc::detail::FailureResult>();
    CPPUNIT_ASSERT_MESSAGE("no sequence broke a rule", is_failure);
    const auto& failure = result.get<rc::detail::FailureResult>();
    CPPUNIT_ASSERT_MESSAGE(failure.description,
                           failure.description.find(rule) != std::string::npos);
    std::cout << " (sequence " << failure.numSuccess + 1 << ": "
              << failure.description.substr(failure.description.rfind('\n') + 1) << ")"
              << std::flush;
  }

  static std::optional<std::string> RestartWithOldTable(Mutant mutant) {
    constexpr std::size_t kFlow = 0;
    FlowSimulation simulation(mutant);
    simulation.Move(FlowSimulation::BucketOf(kFlow), 1);
    simulation.SendTable(0, 0);
    simulation.DeliverLatest();
    simulation.SendReport(0);
    simulation.Crash(0);
    simulation.Restart(0);
    simulation.SendTable(0, 1);
    simulation.DeliverLatest();
    simulation.SetBalancerTable(0, 1);
    simulation.Send(kFlow, 0);
    simulation.DeliverLatest();
    simulation.Deliver(0);  // report of the previous incarnation
    simulation.SendTable(1, 0);
    simulation.DeliverLatest();
    simulation.SetBalancerTable(0, 0);
    simulation.Send(kFlow, 0);
    simulation.DeliverLatest();
    return simulation.Violation();
  }

  static void Print(int sequences, const SimulationCounts& counts) {
    std::cout << "\nseed " << NumberFromEnvironment("FLOW_OWNERSHIP_SEED", kSeed) << ", "
              << sequences << " sequences: " << counts.opened << " flows opened, " << counts.served
              << " datagrams served (" << counts.served_on_walk << " on a walk, "
              << counts.recovered << " recovered), " << counts.passed_on << " passed on\n";
    for (std::size_t reason = 0; reason < counts.dropped.size(); ++reason) {
      std::cout << "  dropped, " << ToString(static_cast<flow::DropReason>(reason)) << ": "
                << counts.dropped.at(reason) << "\n";
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowOwnershipProof);

}  // namespace
}  // namespace gaugevalve::proofs
