// Operators edit the tree at once while the store goes away, answers are lost after the write took
// effect, and requests arrive late or twice. What must hold is in EditOracle: nothing is ever
// half-applied, each edit is applied at most once and never reverted, an edit told as committed is
// in the tree, an edit told as not applied never will be. Meanwhile balancers of two releases come
// and go, and coordinators count them: no edit is applied that one in service doesn't understand.
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
std::size_t AnyCoordinator() { return *rc::gen::inRange<std::size_t>(0, kCoordinatorCount); }
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
  void run(const Model& /*model*/, EditingRun& run) const override {
    if (run.Send(who_) && is_answered_at_once_) {
      run.DeliverNewest();
    }
  }
  void show(std::ostream& stream) const override {
    stream << "Send(" << who_ << (is_answered_at_once_ ? ", answered at once)" : ")");
  }

 private:
  std::size_t who_ = AnyOperator();
  bool is_answered_at_once_ = *rc::gen::arbitrary<bool>();
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

class Join : public Command {
 public:
  void run(const Model& /*model*/, EditingRun& run) const override {
    run.Join(is_older_ ? kOlderRelease : kNewerRelease);
  }
  void show(std::ostream& stream) const override {
    stream << "Join(" << (is_older_ ? "older)" : "newer)");
  }

 private:
  bool is_older_ = *rc::gen::weightedElement<bool>({{3, true}, {1, false}});
};

class Leave : public Command {
 public:
  void run(const Model& /*model*/, EditingRun& run) const override { run.Leave(place_); }
  void show(std::ostream& stream) const override { stream << "Leave(" << place_ << ")"; }

 private:
  std::size_t place_ = AnyPosition();
};

class MoveLease : public Command {
 public:
  void run(const Model& /*model*/, EditingRun& run) const override { run.MoveLease(who_); }
  void show(std::ostream& stream) const override { stream << "MoveLease(" << who_ << ")"; }

 private:
  std::size_t who_ = AnyCoordinator();
};

// A coordinator works for a while undisturbed, or puts one request on the network.
class Count : public Command {
 public:
  void run(const Model& /*model*/, EditingRun& run) const override {
    for (int round = 0; round < rounds_; ++round) {
      if (run.Count(who_)) {
        run.DeliverNewest();
      }
    }
    if (rounds_ == 0) {
      run.Count(who_);
    }
  }
  void show(std::ostream& stream) const override {
    stream << "Count(" << who_ << ", rounds " << rounds_ << ")";
  }

 private:
  std::size_t who_ = AnyCoordinator();
  int rounds_ = *rc::gen::weightedElement<int>({{3, 0}, {1, 1}, {1, 2}, {1, 5}});
};

class TimeOutCoordinator : public Command {
 public:
  void run(const Model& /*model*/, EditingRun& run) const override { run.TimeOutCoordinator(who_); }
  void show(std::ostream& stream) const override { stream << "TimeOutCoordinator(" << who_ << ")"; }

 private:
  std::size_t who_ = AnyCoordinator();
};

class RewriteCapabilities : public Command {
 public:
  void run(const Model& /*model*/, EditingRun& run) const override { run.RewriteCapabilities(); }
  void show(std::ostream& stream) const override { stream << "RewriteCapabilities()"; }
};

void EditsAreAppliedOnceOrNever(Mutation mutation) {
  EditingRun run(mutation);
  const auto commands =
      rc::state::gen::execOneOfWithArgs<Begin, Send, Deliver, Drop, TimeOut, LookUp, StoreAway,
                                        RewriteCapabilities, Join, Leave, MoveLease, Count,
                                        TimeOutCoordinator>();
  rc::state::check(Model{}, run, commands);
  run.Settle();
  RC_CLASSIFY(run.Oracle().Applied().size() >= 3, "three edits or more applied");
  RC_CLASSIFY(run.StepsWithOlderBalancer() > 0, "a balancer of the older release in service");
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

const RegisteredProof no_capability_compare("no compare of the capabilities",
                                            ProofKind::kMutantIsCaught, [] {
                                              EditsAreAppliedOnceOrNever(
                                                  Mutation::kNoCapabilityCompare);
                                            });
const RegisteredProof serve_uncounted("an older balancer in service before it is counted",
                                      ProofKind::kMutantIsCaught, [] {
                                        EditsAreAppliedOnceOrNever(Mutation::kServeUncounted);
                                      });
const RegisteredProof unfenced("a coordinator without its lease writes the capabilities",
                               ProofKind::kMutantIsCaught,
                               [] { EditsAreAppliedOnceOrNever(Mutation::kUnfencedCoordinator); });
const RegisteredProof trust_look_up("a lost write of the capabilities taken for not applied",
                                    ProofKind::kMutantIsCaught,
                                    [] { EditsAreAppliedOnceOrNever(Mutation::kTrustLookUp); });

}  // namespace
}  // namespace gaugevalve::proofs
