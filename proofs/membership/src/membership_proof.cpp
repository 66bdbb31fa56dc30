// Stateful fuzzing of the membership core. Rules at every moment: knowledge never gets older. After
// the faults end: every view becomes the truth. Refutation and the order of incarnations are each
// taken away in turn; the rules must then be seen broken.
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <iostream>
#include <sstream>

#include "membership_world.h"

namespace gaugevalve::proofs {
namespace {

enum class StepKind : std::uint8_t {
  kRun,
  kKill,
  kRestart,
  kFreeze,
  kThaw,
  kLeave,
  kToggleLeavingMark,
  kIsolate,
  kBlockOneWay,
  kSplitRegions,
  kEndPartitions,
  kSetNoise,
};

std::ostream& operator<<(std::ostream& stream, StepKind kind) {
  static constexpr const char* kNames[] = {
      "run",         "kill",    "restart",       "freeze",        "thaw",           "leave",
      "toggle mark", "isolate", "block one way", "split regions", "end partitions", "noise"};
  return stream << kNames[static_cast<std::size_t>(kind)];
}

// The oracle is in the world; every step is allowed in every state.
struct Model {};

using MembershipCommand = rc::state::Command<Model, MembershipWorld>;

// One step of the adversary, and some time.
class Perform final : public MembershipCommand {
 public:
  Perform()
      : kind_(*rc::gen::weightedElement<StepKind>({{8, StepKind::kRun},
                                                   {3, StepKind::kKill},
                                                   {4, StepKind::kRestart},
                                                   {3, StepKind::kFreeze},
                                                   {3, StepKind::kThaw},
                                                   {1, StepKind::kLeave},
                                                   {2, StepKind::kToggleLeavingMark},
                                                   {2, StepKind::kIsolate},
                                                   {2, StepKind::kBlockOneWay},
                                                   {1, StepKind::kSplitRegions},
                                                   {3, StepKind::kEndPartitions},
                                                   {2, StepKind::kSetNoise}})),
        member_(*rc::gen::inRange<std::size_t>(0, MembershipWorld::kMembers)),
        other_(*rc::gen::inRange<std::size_t>(0, MembershipWorld::kMembers)),
        number_(*rc::gen::inRange(1, kNumbers)) {}

  void run(const Model& /*model*/, MembershipWorld& world) const override {  // NOLINT
    Do(world);
    // Short after most steps, so that faults meet; long enough for verdicts after others.
    const bool is_long = kind_ == StepKind::kRun;
    world.Run(number_ * (is_long ? std::chrono::milliseconds(100) : std::chrono::milliseconds(5)));
    if (world.Violation()) {
      RC_FAIL(*world.Violation());
    }
  }

  void show(std::ostream& stream) const override {  // NOLINT: rapidcheck's name
    stream << kind_ << " member=" << member_ << " other=" << other_ << " number=" << number_;
  }

 private:
  static constexpr int kNumbers = 100;
  static constexpr double kLargestNoise = 0.3;

  void Do(MembershipWorld& world) const {
    switch (kind_) {
      case StepKind::kRun:
        return;
      case StepKind::kKill:
        return world.Kill(member_);
      case StepKind::kRestart:
        return world.Restart(member_);
      case StepKind::kFreeze:
        return world.Freeze(member_);
      case StepKind::kThaw:
        return world.Thaw(member_);
      case StepKind::kLeave:
        return world.Leave(member_);
      case StepKind::kToggleLeavingMark:
        return world.ToggleLeavingMark(member_);
      case StepKind::kIsolate:
        return world.Isolate(member_);
      case StepKind::kBlockOneWay:
        return world.BlockOneWay(member_, other_);
      case StepKind::kSplitRegions:
        return world.SplitRegions();
      case StepKind::kEndPartitions:
        return world.EndPartitions();
      case StepKind::kSetNoise:
        return world.SetNoise(kLargestNoise * number_ / kNumbers);
    }
  }

  StepKind kind_;
  std::size_t member_;
  std::size_t other_;
  int number_;
};

constexpr std::uint64_t kSeed = 20'261'202;
constexpr int kCases = 1000;
constexpr int kLargestSize = 60;  // steps of a case, about

rc::detail::TestResult Explore(const membership::InjectedFaults& faults, MembershipTotals& totals) {
  rc::detail::TestParams parameters;
  parameters.seed = kSeed;
  parameters.maxSuccess = kCases;
  parameters.maxSize = kLargestSize;
  const auto property = [&] {
    MembershipWorld world(*rc::gen::arbitrary<std::uint64_t>(), faults);
    rc::state::check(Model{}, world, rc::state::gen::execOneOfWithArgs<Perform>());
    world.Heal();
    totals.deaths_reported += world.Totals().deaths_reported;
    totals.recoveries += world.Totals().recoveries;
    totals.restarts += world.Totals().restarts;
    totals.told_of_own_death += world.Totals().told_of_own_death;
    if (world.Violation()) {
      RC_FAIL(*world.Violation());
    }
  };
  return rc::detail::checkTestable(property, rc::detail::TestMetadata(), parameters);
}

std::string Describe(const rc::detail::TestResult& result, const MembershipTotals& totals) {
  std::ostringstream words;
  rc::detail::printResultMessage(result, words);
  words << "\nseed " << kSeed << ", deaths reported " << totals.deaths_reported << ", recoveries "
        << totals.recoveries << ", restarts " << totals.restarts << ", told of own death "
        << totals.told_of_own_death << '\n';
  return words.str();
}

class MembershipProof : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipProof);
  CPPUNIT_TEST(ViewsNeverGetOlderAndBecomeTrue);
  CPPUNIT_TEST(CatchesMissingRefutation);
  CPPUNIT_TEST(CatchesMissingOrderOfIncarnations);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ViewsNeverGetOlderAndBecomeTrue() {
    MembershipTotals totals;
    const rc::detail::TestResult result = Explore({}, totals);
    std::cout << Describe(result, totals);
    CPPUNIT_ASSERT_MESSAGE(Describe(result, totals), result.is<rc::detail::SuccessResult>());
    CPPUNIT_ASSERT(totals.deaths_reported > 1000);
    CPPUNIT_ASSERT(totals.recoveries > 100);
    CPPUNIT_ASSERT(totals.restarts > 100);
    CPPUNIT_ASSERT(totals.told_of_own_death > 100);
  }

  void CatchesMissingRefutation() {
    MustBreak({.never_refute = true}, "views did not become true");
  }

  void CatchesMissingOrderOfIncarnations() {
    MustBreak({.accept_older_incarnations = true}, "knowledge got older");
  }

 private:
  static void MustBreak(const membership::InjectedFaults& faults, const std::string& words) {
    MembershipTotals totals;
    const rc::detail::TestResult result = Explore(faults, totals);
    const std::string description = Describe(result, totals);
    CPPUNIT_ASSERT_MESSAGE(description, result.is<rc::detail::FailureResult>());
    CPPUNIT_ASSERT_MESSAGE(description, description.find(words) != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipProof);

}  // namespace
}  // namespace gaugevalve::proofs
