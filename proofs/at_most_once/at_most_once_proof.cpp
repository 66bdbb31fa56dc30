// Checks that a keyed request of libs/requests is executed at most once despite killed and frozen
// agents, lost, delayed and duplicated messages, false suspicions and tables that reach agents at
// different times. This is the guarantee "A reservation or slot request that may not be repeated
// runs at most once".
//
// Oracle: each key has a count of executions that happened or may have happened; the count never
// exceeds 1.

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <array>
#include <cstdint>
#include <memory>
#include <sstream>
#include <string>
#include <utility>

#include "cluster.h"
#include "gaugevalve/testing/proof.h"

namespace gaugevalve::proofs {
namespace {

using requests::AtMostOnceMechanisms;

struct NoModel {};

enum class EventKind : std::uint8_t {
  kNewRequest,
  kRepeatRequest,
  kFinishRun,
  kAbandonRequest,
  kLoseMessage,
  kDuplicateMessage,
  kMoveBucket,
  kKill,
  kRestart,
  kFreeze,
  kThaw,
  kRemoveFromTable,
  kAdvanceTimeByLongStep,
  kAdvanceTimeByShortStep,
  kDeliverTable,
  kDeliverAll,
  kDeliverMessage,
};

// Relative frequency of each kind of event.
struct EventWeight {
  EventKind kind;
  std::uint32_t weight;
};

constexpr std::array<EventWeight, 17> kEventWeights{{{EventKind::kNewRequest, 2},
                                                     {EventKind::kRepeatRequest, 3},
                                                     {EventKind::kFinishRun, 1},
                                                     {EventKind::kAbandonRequest, 1},
                                                     {EventKind::kLoseMessage, 1},
                                                     {EventKind::kDuplicateMessage, 1},
                                                     {EventKind::kMoveBucket, 1},
                                                     {EventKind::kKill, 1},
                                                     {EventKind::kRestart, 1},
                                                     {EventKind::kFreeze, 1},
                                                     {EventKind::kThaw, 1},
                                                     {EventKind::kRemoveFromTable, 1},
                                                     {EventKind::kAdvanceTimeByLongStep, 1},
                                                     {EventKind::kAdvanceTimeByShortStep, 2},
                                                     {EventKind::kDeliverTable, 3},
                                                     {EventKind::kDeliverAll, 2},
                                                     {EventKind::kDeliverMessage, 3}}};

constexpr std::uint32_t SumOfWeights() {
  std::uint32_t sum = 0;
  for (const EventWeight& entry : kEventWeights) {
    sum += entry.weight;
  }
  return sum;
}

// Maps a number below the sum of weights to an event kind.
EventKind KindOf(std::uint32_t number) {
  for (const EventWeight& entry : kEventWeights) {
    if (number < entry.weight) {
      return entry.kind;
    }
    number -= entry.weight;
  }
  return EventKind::kDeliverMessage;
}

// One event. Its kind and arguments are numbers, so that shrinking finds a short and simple
// sequence.
struct Event : rc::state::Command<NoModel, Cluster> {
  std::uint32_t number = *rc::gen::inRange<std::uint32_t>(0, SumOfWeights());
  std::uint32_t first = *rc::gen::inRange<std::uint32_t>(0, 64);
  std::uint32_t second = *rc::gen::inRange<std::uint32_t>(0, 64);

  void run(const NoModel& /*model*/, Cluster& cluster) const override {
    Apply(cluster);
    RC_ASSERT(!cluster.RanTwice());
  }

  void show(std::ostream& stream) const override {
    stream << "event " << static_cast<int>(KindOf(number)) << " (" << first << ", " << second
           << ")";
  }

  void Apply(Cluster& cluster) const {
    constexpr std::uint32_t kShortStepMs = 40;
    constexpr std::uint32_t kLongStepMs = 700;
    switch (KindOf(number)) {
      case EventKind::kNewRequest:
        return cluster.Request(first, second, true);
      case EventKind::kRepeatRequest:
        return cluster.Request(first, second, false);
      case EventKind::kFinishRun:
        return cluster.FinishRun(first, second);
      case EventKind::kAbandonRequest:
        return cluster.AbandonRequest(first);
      case EventKind::kLoseMessage:
        return cluster.LoseMessage(first);
      case EventKind::kDuplicateMessage:
        return cluster.DuplicateMessage(first);
      case EventKind::kMoveBucket:
        return cluster.MoveBucket(first, second);
      case EventKind::kKill:
        return cluster.Kill(first);
      case EventKind::kRestart:
        return cluster.Restart(first);
      case EventKind::kFreeze:
        return cluster.Freeze(first);
      case EventKind::kThaw:
        return cluster.Thaw(first);
      case EventKind::kRemoveFromTable:
        return cluster.RemoveFromTable(first);
      case EventKind::kAdvanceTimeByLongStep:
        return cluster.AdvanceTime(first * kLongStepMs);
      case EventKind::kAdvanceTimeByShortStep:
        return cluster.AdvanceTime(first * kShortStepMs);
      case EventKind::kDeliverTable:
        return cluster.DeliverTable(first);
      case EventKind::kDeliverAll:
        return cluster.DeliverAll();
      case EventKind::kDeliverMessage:
        return cluster.DeliverMessage(first);
    }
  }
};

void RunsAtMostOnce(const AtMostOnceMechanisms& mechanisms, ClusterCounts& totals) {
  Cluster cluster(mechanisms);
  rc::state::check(NoModel(), cluster, [](const NoModel& /*model*/) {
    return rc::gen::exec([] {
      return std::shared_ptr<const rc::state::Command<NoModel, Cluster>>(std::make_shared<Event>());
    });
  });
  const ClusterCounts& counts = cluster.Counts();
  totals.requests += counts.requests;
  totals.repeats += counts.repeats;
  totals.runs += counts.runs;
  totals.kills += counts.kills;
}

testing::Coverage CoverageOf(const ClusterCounts& totals) {
  constexpr std::size_t kMinCount = 1000;
  std::ostringstream counts;
  counts << "requests " << totals.requests << ", repeats " << totals.repeats << ", runs "
         << totals.runs << ", agents killed " << totals.kills;
  return {totals.repeats > kMinCount && totals.runs > kMinCount && totals.kills > kMinCount,
          counts.str()};
}

testing::RegisteredProof HoldsWithAllMechanisms(std::string name) {
  const auto totals = std::make_shared<ClusterCounts>();
  return {std::move(name),
          testing::ProofKind::kHolds,
          [totals] { RunsAtMostOnce(AtMostOnceMechanisms(), *totals); },
          {.counter_example = "", .coverage = [totals] { return CoverageOf(*totals); }}};
}

// Registers the property with one mechanism disabled; it must fail.
testing::RegisteredProof MutantWithout(std::string name, bool AtMostOnceMechanisms::*mechanism) {
  return {std::move(name), testing::ProofKind::kMutantIsCaught, [mechanism] {
            AtMostOnceMechanisms mechanisms;
            mechanisms.*mechanism = false;
            ClusterCounts unused;
            RunsAtMostOnce(mechanisms, unused);
          }};
}

const testing::RegisteredProof runs_at_most_once =
    HoldsWithAllMechanisms("keyed_request_runs_at_most_once");

const testing::RegisteredProof without_copy =
    MutantWithout("without_copy_before_running", &AtMostOnceMechanisms::copy_before_running);
const testing::RegisteredProof without_collection = MutantWithout(
    "without_collect_before_deciding", &AtMostOnceMechanisms::collect_before_deciding);
const testing::RegisteredProof without_table =
    MutantWithout("without_answer_only_with_table", &AtMostOnceMechanisms::answer_only_with_table);
const testing::RegisteredProof without_forgetting = MutantWithout(
    "without_forget_after_second_loss", &AtMostOnceMechanisms::forget_after_second_loss);
const testing::RegisteredProof without_restoring =
    MutantWithout("without_restore_copies", &AtMostOnceMechanisms::restore_copies);

}  // namespace
}  // namespace gaugevalve::proofs
