// Stateful fuzzing of LeaseHolder and FencingGate against two rules: at no instant do two holders
// believe that they hold, and a guarded resource never takes an action of an older holder after
// one of a newer. Each protection is also taken away in turn; the rules must then be seen broken.
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <iostream>
#include <sstream>

#include "lease_world.h"

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

// The oracle is in the world, so the model of the commands carries only what they may do.
struct Model {
  bool early_expiry = false;
};

using LeaseCommand = rc::state::Command<Model, LeaseWorld>;

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
        holder_(*rc::gen::inRange<std::size_t>(0, LeaseWorld::kHolders)),
        number_(*rc::gen::inRange(0, kNumbers)),
        delivery_(*rc::gen::weightedElement<Delivery>({{12, Delivery::kAnswered},
                                                       {1, Delivery::kRefused},
                                                       {1, Delivery::kLostBefore},
                                                       {2, Delivery::kLostAfter},
                                                       {4, Delivery::kSlowAnswer},
                                                       {2, Delivery::kLate}})) {}

  void checkPreconditions(const Model& model) const override {  // NOLINT: rapidcheck's name
    RC_PRE(model.early_expiry || kind_ != StepKind::kExpireEarly);
  }

  void run(const Model& /*model*/, LeaseWorld& world) const override {  // NOLINT
    Do(world);
    if (world.Violation()) {
      RC_FAIL(*world.Violation());
    }
  }

  void show(std::ostream& stream) const override {  // NOLINT
    stream << kind_ << " holder=" << holder_ << " number=" << number_
           << " delivery=" << static_cast<int>(delivery_);
  }

 private:
  static constexpr int kNumbers = 100;

  void Do(LeaseWorld& world) const {
    switch (kind_) {
      case StepKind::kAdvanceTime:
        return world.AdvanceTime(number_ * std::chrono::milliseconds(25));
      case StepKind::kRunAlone:
        return world.RunAlone(holder_, number_ * std::chrono::milliseconds(100), delivery_);
      case StepKind::kStep:
        return world.Step(holder_);
      case StepKind::kDeliver:
        return world.Deliver(holder_, delivery_);
      case StepKind::kApplyLate:
        return world.ApplyLateRequest();
      case StepKind::kPause:
      case StepKind::kResume:
        return world.SetPaused(holder_, kind_ == StepKind::kPause);
      case StepKind::kOutageBegins:
      case StepKind::kOutageEnds:
        return world.SetOutage(kind_ == StepKind::kOutageBegins);
      case StepKind::kDecide:
        return world.Decide(holder_);
      case StepKind::kDeliverAction:
        return world.DeliverAction(static_cast<std::size_t>(number_));
      case StepKind::kResign:
        return world.Resign(holder_);
      case StepKind::kCampaign:
        return world.Campaign(holder_);
      case StepKind::kExpireEarly:
        return world.ExpireLeasesEarly();
    }
  }

  StepKind kind_;
  std::size_t holder_;
  int number_;
  Delivery delivery_;
};

// What the cases of one property did, to show that it wasn't about nothing.
struct Totals {
  std::size_t acquisitions = 0;
  std::size_t actions_taken = 0;
  std::size_t actions_refused = 0;
};

constexpr std::uint64_t kSeed = 20'240'501;

rc::detail::TestResult Explore(const LeaseWorldSettings& settings, Totals& totals) {
  rc::detail::TestParams parameters;
  parameters.seed = kSeed;
  parameters.maxSuccess = 1500;
  parameters.maxSize = 250;
  const auto property = [&] {
    LeaseWorld world(settings);
    Model model;
    model.early_expiry = settings.early_expiry;
    rc::state::check(model, world, rc::state::gen::execOneOfWithArgs<Perform>());
    world.Heal();
    totals.acquisitions += world.Acquisitions();
    totals.actions_taken += world.ActionsTaken();
    totals.actions_refused += world.ActionsRefused();
    if (world.Violation()) {
      RC_FAIL(*world.Violation());
    }
    RC_ASSERT(world.HoldersThatBelieve() == 1U);
  };
  return rc::detail::checkTestable(property, rc::detail::TestMetadata(), parameters);
}

std::string Describe(const rc::detail::TestResult& result, const Totals& totals) {
  std::ostringstream words;
  rc::detail::printResultMessage(result, words);
  words << "\nseed " << kSeed << ", acquisitions " << totals.acquisitions << ", actions taken "
        << totals.actions_taken << ", refused " << totals.actions_refused << '\n';
  return words.str();
}

class LeaseProof : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeaseProof);
  CPPUNIT_TEST(OneHolderAtATimeAndNoOlderAction);
  CPPUNIT_TEST(NoOlderActionEvenWhenLeasesEndEarly);
  CPPUNIT_TEST(CatchesMissingAllowanceForDrift);
  CPPUNIT_TEST(CatchesMissingGate);
  CPPUNIT_TEST(CatchesHolderThatDoesNotAskTheClock);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OneHolderAtATimeAndNoOlderAction() { MustHold(LeaseWorldSettings{}); }

  void NoOlderActionEvenWhenLeasesEndEarly() { MustHold({.early_expiry = true}); }

  void CatchesMissingAllowanceForDrift() { MustBreak({.assumed_drift = 0}, "believe they hold"); }

  void CatchesMissingGate() { MustBreak({.gate_closed = false}, "took an action"); }

  void CatchesHolderThatDoesNotAskTheClock() {
    MustBreak({.ask_clock = false}, "believe they hold");
  }

 private:
  static void MustHold(const LeaseWorldSettings& settings) {
    Totals totals;
    const rc::detail::TestResult result = Explore(settings, totals);
    std::cout << Describe(result, totals);
    CPPUNIT_ASSERT_MESSAGE(Describe(result, totals), result.is<rc::detail::SuccessResult>());
    CPPUNIT_ASSERT(totals.acquisitions > 1000);
    CPPUNIT_ASSERT(totals.actions_taken > 1000);
    CPPUNIT_ASSERT(totals.actions_refused > 0);
  }

  static void MustBreak(const LeaseWorldSettings& settings, const std::string& words) {
    Totals totals;
    const rc::detail::TestResult result = Explore(settings, totals);
    const std::string description = Describe(result, totals);
    CPPUNIT_ASSERT_MESSAGE(description, result.is<rc::detail::FailureResult>());
    CPPUNIT_ASSERT_MESSAGE(description, description.find(words) != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseProof);

}  // namespace
}  // namespace gaugevalve::proofs
