// Stateful fuzzing of the agents' flow cores: no flow is ever served by two agents, whatever the
// network, the planner, the machines and the clocks do. Each protection is also taken away in turn;
// the rules must then be seen broken, or the proof is worth nothing.
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <array>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>

#include "flow_world.h"

namespace gaugevalve::proofs {
namespace {

constexpr std::uint64_t kSeed = 20261202;
constexpr int kSequences = 20'000;
constexpr int kMutantSequences = 20'000;  // at most: the first broken rule ends the search
constexpr int kLongestSequence = 160;
constexpr int kNumbers = 64;

// Returns the number in an environment variable, for longer searches and other seeds, or the one
// that CI goes by.
std::uint64_t NumberFrom(const char* variable, std::uint64_t usual) {
  const char* const text = std::getenv(variable);
  return text == nullptr ? usual : std::stoull(text);
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
  kRecycle,
  kAdvanceTime,
  kSettle,
};

std::ostream& operator<<(std::ostream& stream, StepKind kind) {
  static constexpr std::array kNames{
      "send",  "deliver",    "deliver latest", "duplicate",    "lose",  "move",   "declare dead",
      "list",  "send table", "balancer",       "report",       "drain", "freeze", "thaw",
      "crash", "restart",    "recycle",        "advance time", "settle"};
  return stream << kNames.at(static_cast<std::size_t>(kind));
}

// The oracle is in the world; any step may follow any other.
struct Model {};

using WorldCommand = rc::state::Command<Model, FlowWorld>;

// One step of the adversary, of any kind.
class Step final : public WorldCommand {
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
                                                   {1, StepKind::kRecycle},
                                                   {4, StepKind::kAdvanceTime},
                                                   {1, StepKind::kSettle}})),
        agent_(*rc::gen::inRange<std::size_t>(0, FlowWorld::kAgents)),
        other_(*rc::gen::inRange<std::size_t>(0, FlowWorld::kBalancers)),
        number_(*rc::gen::inRange<std::size_t>(0, kNumbers)),
        age_(*rc::gen::weightedElement<std::size_t>({{8, 0}, {2, 1}, {1, 2}, {1, 5}})) {}

  void run(const Model& /*model*/, FlowWorld& world) const override {  // NOLINT: its name
    Do(world);
    if (world.Violation()) {
      RC_FAIL(*world.Violation());
    }
  }

  void show(std::ostream& stream) const override {  // NOLINT: rapidcheck's name
    stream << kind_ << " agent/flow=" << agent_ << " balancer/bucket=" << other_
           << " number=" << number_ << " age=" << age_;
  }

 private:
  void Do(FlowWorld& world) const {
    switch (kind_) {
      case StepKind::kSend:
        return world.Send(agent_, other_);
      case StepKind::kDeliver:
        return world.Deliver(number_);
      case StepKind::kDeliverLatest:
        return world.DeliverLatest();
      case StepKind::kDuplicate:
        return world.Duplicate(number_);
      case StepKind::kLose:
        return world.Lose(number_);
      case StepKind::kMove:
        return world.Move(other_, agent_);
      case StepKind::kDeclareDead:
        return world.DeclareDead(agent_);
      case StepKind::kList:
        return world.List(agent_);
      case StepKind::kSendTable:
        return world.SendTable(agent_, age_);
      case StepKind::kSetBalancerTable:
        return world.SetBalancerTable(other_, age_);
      case StepKind::kSendReport:
        return world.SendReport(agent_);
      default:
        return DoToMachine(world);
    }
  }

  void DoToMachine(FlowWorld& world) const {
    switch (kind_) {
      case StepKind::kDrain:
        return world.Drain(agent_);
      case StepKind::kFreeze:
        return world.Freeze(agent_);
      case StepKind::kThaw:
        return world.Thaw(agent_);
      case StepKind::kCrash:
        return world.Crash(agent_);
      case StepKind::kRestart:
        return world.Restart(agent_);
      case StepKind::kRecycle:
        return world.Recycle(agent_);
      case StepKind::kAdvanceTime:
        return world.AdvanceTime(std::chrono::milliseconds(100 * (number_ + 1)));
      default:
        return world.Settle();
    }
  }

  StepKind kind_;
  std::size_t agent_;
  std::size_t other_;
  std::size_t number_;
  std::size_t age_;
};

// Runs random sequences; returns what RapidCheck found.
rc::detail::TestResult Search(Mutant mutant, int sequences, bool shrink, WorldCounts& counts) {
  rc::detail::TestParams params;
  params.seed = NumberFrom("FLOW_OWNERSHIP_SEED", kSeed);
  params.maxSuccess = sequences;
  params.maxSize = kLongestSequence;
  params.disableShrinking = !shrink;
  const auto property = [&] {
    FlowWorld world(mutant);
    rc::state::check(Model(), world,
                     [](const Model&) { return rc::state::gen::execOneOfWithArgs<Step>()(); });
    world.Settle();
    if (world.Violation()) {
      RC_FAIL(*world.Violation());
    }
    counts.Add(world.Counts());
  };
  return rc::detail::checkTestable(property, rc::detail::TestMetadata(), params);
}

class FlowOwnershipProof : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FlowOwnershipProof);
  CPPUNIT_TEST(OneAgentServesAFlowWhateverHappens);
  CPPUNIT_TEST(SkippingTheChainWalkIsNoticed);
  CPPUNIT_TEST(ForgettingCarriedEntriesIsNoticed);
  CPPUNIT_TEST(IgnoringOtherClaimsIsNoticed);
  CPPUNIT_TEST(TrustingHeldFlowsIsNoticed);
  CPPUNIT_TEST(IgnoringFreshnessIsNoticed);
  CPPUNIT_TEST(IgnoringPausesIsNoticed);
  CPPUNIT_TEST(IgnoringIncarnationsIsNoticed);
  CPPUNIT_TEST(AcceptingForeignDatagramsIsNoticed);
  CPPUNIT_TEST(DeclaringDeadAtOnceIsNoticed);
  CPPUNIT_TEST(TrustingOldReportsIsNoticed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OneAgentServesAFlowWhateverHappens() {
    WorldCounts counts;
    const int sequences = static_cast<int>(NumberFrom("FLOW_OWNERSHIP_SEQUENCES", kSequences));
    const rc::detail::TestResult result = Search(Mutant::kNone, sequences, true, counts);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    CPPUNIT_ASSERT_MESSAGE(text.str(), result.is<rc::detail::SuccessResult>());
    Print(sequences, counts);
    CPPUNIT_ASSERT(counts.opened > 0 && counts.served_on_walk > 0 && counts.put_back > 0);
    for (const flow::DropReason reason :
         {flow::DropReason::kForeignService, flow::DropReason::kStaleTable,
          flow::DropReason::kNotListed, flow::DropReason::kDraining}) {
      CPPUNIT_ASSERT(counts.dropped.at(static_cast<std::size_t>(reason)) > 0);
    }
  }

  void SkippingTheChainWalkIsNoticed() {
    AssertNoticed(Mutant::kSkipsChainWalk, "opened the flow of agent");
  }
  void ForgettingCarriedEntriesIsNoticed() {
    AssertNoticed(Mutant::kForgetsCarriedEntry, "opened the flow of agent");
  }
  void IgnoringOtherClaimsIsNoticed() {
    AssertNoticed(Mutant::kIgnoresOtherClaims, "served the flow of agent");
  }
  void TrustingHeldFlowsIsNoticed() {
    AssertNoticed(Mutant::kTrustsHeldFlows, "the flow of agent");
  }
  void IgnoringFreshnessIsNoticed() { AssertNoticed(Mutant::kIgnoresFreshness, "out of date"); }
  void IgnoringPausesIsNoticed() { AssertNoticed(Mutant::kIgnoresPause, "opened a flow"); }

  // Too rare for the random search, so the steps are given: an agent acknowledges that it lost a
  // bucket, reports that it holds nothing there, and restarts. Its new life hears of an old table.
  void IgnoringIncarnationsIsNoticed() {
    CPPUNIT_ASSERT(!RestartWithOldTable(Mutant::kNone));
    CPPUNIT_ASSERT_EQUAL(std::string("agent 1 opened the flow of agent 0"),
                         RestartWithOldTable(Mutant::kIgnoresIncarnation).value_or("nothing"));
  }

  void AcceptingForeignDatagramsIsNoticed() {
    AssertNoticed(Mutant::kAcceptsForeign, "of another service");
  }
  void DeclaringDeadAtOnceIsNoticed() {
    AssertNoticed(Mutant::kDeclaresDeadAtOnce, "was taken for dead, hasn't heard of it and opened");
  }
  void TrustingOldReportsIsNoticed() {
    AssertNoticed(Mutant::kTrustsOldReports, "opened the flow of agent");
  }

 private:
  static void AssertNoticed(Mutant mutant, const std::string& rule) {
    WorldCounts counts;
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
    FlowWorld world(mutant);
    world.Move(FlowWorld::BucketOf(kFlow), 1);
    world.SendTable(0, 0);
    world.DeliverLatest();
    world.SendReport(0);
    world.Crash(0);
    world.Restart(0);
    world.SendTable(0, 1);
    world.DeliverLatest();
    world.SetBalancerTable(0, 1);
    world.Send(kFlow, 0);
    world.DeliverLatest();
    world.Deliver(0);  // the report of the former life
    world.SendTable(1, 0);
    world.DeliverLatest();
    world.SetBalancerTable(0, 0);
    world.Send(kFlow, 0);
    world.DeliverLatest();
    return world.Violation();
  }

  static void Print(int sequences, const WorldCounts& counts) {
    std::cout << "\nseed " << NumberFrom("FLOW_OWNERSHIP_SEED", kSeed) << ", " << sequences
              << " sequences: " << counts.opened << " flows opened, " << counts.served
              << " datagrams served (" << counts.served_on_walk << " on a walk, " << counts.put_back
              << " put back), " << counts.passed_on << " passed on\n";
    for (std::size_t reason = 0; reason < counts.dropped.size(); ++reason) {
      std::cout << "  dropped, " << ToString(static_cast<flow::DropReason>(reason)) << ": "
                << counts.dropped.at(reason) << "\n";
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowOwnershipProof);

}  // namespace
}  // namespace gaugevalve::proofs
