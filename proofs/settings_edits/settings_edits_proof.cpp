// Operators edit the tree at once while the store goes away, answers are lost after the write took
// effect, and requests arrive late or twice. What must hold is in EditOracle: nothing is ever
// half-applied, each edit is applied at most once and never reverted, an edit told as committed is
// in the tree, an edit told as not applied never will be.
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include "editing_run.h"
#include "gaugevalve/testing/proof.h"
#include "mutation.h"

namespace gaugevalve::proofs {
namespace {

// The commands hold their own arguments; what is possible at the moment is the run's to say.
struct Model {};

using Command = rc::state::Command<Model, EditingRun>;

constexpr std::size_t kPositions = 8;

std::size_t AnyOperator() { return *rc::gen::inRange<std::size_t>(0, kOperatorCount); }
std::size_t AnyPosition() { return *rc::gen::inRange<std::size_t>(0, kPositions); }

class Begin : public Command {
 public:
  void run(const Model& /*model*/, EditingRun& run) const override {
    run.Begin(who_, first_place_, second_place_);
  }
  void show(std::ostream& stream) const override {
    stream << "Begin(" << who_ << ", " << first_place_ << ", " << second_place_ << ")";
  }

 private:
  std::size_t who_ = AnyOperator();
  std::size_t first_place_ = AnyPosition();
  std::size_t second_place_ = AnyPosition();
};

class Send : public Command {
 public:
  void run(const Model& /*model*/, EditingRun& run) const override { run.Send(who_); }
  void show(std::ostream& stream) const override { stream << "Send(" << who_ << ")"; }

 private:
  std::size_t who_ = AnyOperator();
};

class Deliver : public Command {
 public:
  void run(const Model& /*model*/, EditingRun& run) const override {
    run.Deliver(position_, is_answer_lost_ ? AnswerFate::kIsLost : AnswerFate::kArrives);
  }
  void show(std::ostream& stream) const override {
    stream << "Deliver(" << position_ << (is_answer_lost_ ? ", answer lost)" : ")");
  }

 private:
  std::size_t position_ = AnyPosition();
  bool is_answer_lost_ = *rc::gen::arbitrary<bool>();
};

class Drop : public Command {
 public:
  void run(const Model& /*model*/, EditingRun& run) const override { run.Drop(position_); }
  void show(std::ostream& stream) const override { stream << "Drop(" << position_ << ")"; }

 private:
  std::size_t position_ = AnyPosition();
};

class TimeOut : public Command {
 public:
  void run(const Model& /*model*/, EditingRun& run) const override { run.TimeOut(who_); }
  void show(std::ostream& stream) const override { stream << "TimeOut(" << who_ << ")"; }

 private:
  std::size_t who_ = AnyOperator();
};

class LookUp : public Command {
 public:
  void run(const Model& /*model*/, EditingRun& run) const override { run.LookUp(who_); }
  void show(std::ostream& stream) const override { stream << "LookUp(" << who_ << ")"; }

 private:
  std::size_t who_ = AnyOperator();
};

class StoreAway : public Command {
 public:
  void run(const Model& /*model*/, EditingRun& run) const override { run.SetStoreAway(away_); }
  void show(std::ostream& stream) const override { stream << "StoreAway(" << away_ << ")"; }

 private:
  bool away_ = *rc::gen::weightedElement<bool>({{1, true}, {3, false}});
};

class RewriteCapabilities : public Command {
 public:
  void run(const Model& /*model*/, EditingRun& run) const override { run.RewriteCapabilities(); }
  void show(std::ostream& stream) const override { stream << "RewriteCapabilities()"; }
};

void EditsAreAppliedOnceOrNever(Mutation mutation) {
  EditingRun run(mutation);
  const auto commands = rc::state::gen::execOneOfWithArgs<Begin, Send, Deliver, Drop, TimeOut,
                                                          LookUp, StoreAway, RewriteCapabilities>();
  rc::state::check(Model{}, run, commands);
  run.Settle();
  RC_CLASSIFY(run.Oracle().Applied().size() >= 3, "three edits or more applied");
}

using testing::ProofKind;
using testing::RegisteredProof;

const RegisteredProof holds("edits are applied once or never", ProofKind::kHolds,
                            [] { EditsAreAppliedOnceOrNever(Mutation::kNone); });
const RegisteredProof no_compare("no compare of the root's revision", ProofKind::kMutantIsCaught,
                                 [] { EditsAreAppliedOnceOrNever(Mutation::kNoCompare); });
const RegisteredProof blind_retry("blind retry after a lost answer", ProofKind::kMutantIsCaught,
                                  [] { EditsAreAppliedOnceOrNever(Mutation::kBlindRetry); });
const RegisteredProof trust_failed_compare("a failed compare taken for a lost race",
                                           ProofKind::kMutantIsCaught, [] {
                                             EditsAreAppliedOnceOrNever(
                                                 Mutation::kTrustFailedCompare);
                                           });
const RegisteredProof give_up_as_not_applied("an unchanged root taken for not applied",
                                             ProofKind::kMutantIsCaught, [] {
                                               EditsAreAppliedOnceOrNever(
                                                   Mutation::kGiveUpAsNotApplied);
                                             });
const RegisteredProof separate_writes("the parts written one by one", ProofKind::kMutantIsCaught,
                                      [] {
                                        EditsAreAppliedOnceOrNever(Mutation::kSeparateWrites);
                                      });

}  // namespace
}  // namespace gaugevalve::proofs
