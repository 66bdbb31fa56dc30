// "A reservation or slot request that may not be repeated runs at most once": a keyed request of
// libs/requests, through kills, freezes, wake-ups, lost, late and doubled messages, wrong
// suspicions and tables that reach agents at different times.
//
// Oracle: each key has a count of executions that happened or may have happened; it never
// exceeds 1.

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <array>

#include "cluster.h"
#include "gaugevalve/testing/proof.h"

namespace gaugevalve::proofs {
namespace {

using requests::AtMostOnceMechanisms;

struct NoModel {};

// One event, chosen by number so that shrinking finds a short and simple history.
struct Event : rc::state::Command<NoModel, Cluster> {
  std::uint32_t kind = *rc::gen::inRange<std::uint32_t>(0, 26);
  std::uint32_t first = *rc::gen::inRange<std::uint32_t>(0, 64);
  std::uint32_t second = *rc::gen::inRange<std::uint32_t>(0, 64);

  void run(const NoModel& /*model*/, Cluster& cluster) const override {
    Apply(cluster);
    RC_ASSERT(!cluster.RanTwice());
  }

  void show(std::ostream& stream) const override {
    stream << "event " << kind << " (" << first << ", " << second << ")";
  }

  void Apply(Cluster& cluster) const {
    constexpr std::uint32_t kShortStep = 40;
    constexpr std::uint32_t kLongStep = 700;
    switch (kind) {
      case 0:
      case 1:
        return cluster.Request(first, second, true);
      case 2:
      case 3:
      case 4:
        return cluster.Request(first, second, false);
      case 5:
        return cluster.FinishRun(first, second);
      case 6:
        return cluster.AbandonRequest(first);
      case 7:
        return cluster.LoseMessage(first);
      case 8:
        return cluster.DoubleMessage(first);
      case 9:
        return cluster.MoveBucket(first, second);
      case 10:
        return cluster.Kill(first);
      case 11:
        return cluster.Restart(first);
      case 12:
        return cluster.Freeze(first);
      case 13:
        return cluster.Wake(first);
      case 14:
        return cluster.RemoveFromTable(first);
      case 15:
        return cluster.PassTime(first * kLongStep);
      case 16:
      case 17:
        return cluster.PassTime(first * kShortStep);
      case 18:
      case 19:
      case 20:
        return cluster.GiveTable(first);
      case 21:
      case 22:
        return cluster.DeliverAll();
      default:
        return cluster.DeliverMessage(first);
    }
  }
};

void RunsAtMostOnce(const AtMostOnceMechanisms& mechanisms) {
  Cluster cluster(mechanisms);
  rc::state::check(NoModel(), cluster, [](const NoModel& /*model*/) {
    return rc::gen::exec([] {
      return std::shared_ptr<const rc::state::Command<NoModel, Cluster>>(std::make_shared<Event>());
    });
  });
}

const testing::RegisteredProof runs_at_most_once("keyed_request_runs_at_most_once",
                                                 testing::ProofKind::kHolds,
                                                 [] { RunsAtMostOnce(AtMostOnceMechanisms()); });

const testing::RegisteredProof mutant_copy_before_running("without_copy_before_running",
                                                          testing::ProofKind::kMutantIsCaught, [] {
                                                            AtMostOnceMechanisms mechanisms;
                                                            mechanisms.copy_before_running = false;
                                                            RunsAtMostOnce(mechanisms);
                                                          });

const testing::RegisteredProof mutant_collect_before_deciding("without_collect_before_deciding",
                                                              testing::ProofKind::kMutantIsCaught,
                                                              [] {
                                                                AtMostOnceMechanisms mechanisms;
                                                                mechanisms.collect_before_deciding =
                                                                    false;
                                                                RunsAtMostOnce(mechanisms);
                                                              });

const testing::RegisteredProof mutant_answer_only_with_table("without_answer_only_with_table",
                                                             testing::ProofKind::kMutantIsCaught,
                                                             [] {
                                                               AtMostOnceMechanisms mechanisms;
                                                               mechanisms.answer_only_with_table =
                                                                   false;
                                                               RunsAtMostOnce(mechanisms);
                                                             });

const testing::RegisteredProof mutant_forget_after_second_loss(
    "without_forget_after_second_loss", testing::ProofKind::kMutantIsCaught, [] {
      AtMostOnceMechanisms mechanisms;
      mechanisms.forget_after_second_loss = false;
      RunsAtMostOnce(mechanisms);
    });

const testing::RegisteredProof mutant_restore_copies("without_restore_copies",
                                                     testing::ProofKind::kMutantIsCaught, [] {
                                                       AtMostOnceMechanisms mechanisms;
                                                       mechanisms.restore_copies = false;
                                                       RunsAtMostOnce(mechanisms);
                                                     });

}  // namespace
}  // namespace gaugevalve::proofs
