// The planner of a service through arbitrary lives of its agents, take-overs from old tables, and
// late, reordered and lying reports.
//
// Oracle: the true flows of every agent. Whoever a bucket's entry no longer names holds no flow in
// it and opens none, also when it was declared dead and only is cut off from control; owners are
// live; chains are bounded; moves are bounded; all flows are named once things have settled, and
// then nothing moves any more.

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <algorithm>
#include <memory>
#include <numeric>
#include <vector>

#include "gaugevalve/routing/minimal_movement.h"
#include "gaugevalve/routing/outlier_ejection.h"
#include "gaugevalve/testing/proof.h"
#include "planner_fleet.h"

namespace gaugevalve::proofs {
namespace {

using routing::PlannerMechanisms;
using testing::ProofKind;
using testing::RegisteredProof;

struct NoModel {};

// One event, chosen by number so that shrinking finds a short and simple history.
struct Event : rc::state::Command<NoModel, PlannerFleet> {
  std::uint32_t kind = *rc::gen::inRange<std::uint32_t>(0, 26);
  std::uint32_t first = *rc::gen::inRange<std::uint32_t>(0, 64);
  std::uint32_t second = *rc::gen::inRange<std::uint32_t>(0, 64);

  void run(const NoModel& /*model*/, PlannerFleet& fleet) const override {
    Apply(fleet);
    RC_ASSERT(fleet.Fault() == "");
  }

  void show(std::ostream& stream) const override {
    stream << "event " << kind << " (" << first << ", " << second << ")";
  }

  void Apply(PlannerFleet& fleet) const {
    constexpr std::uint32_t kShortStep = 50;
    constexpr std::uint32_t kLongStep = 1000;
    switch (kind) {
      case 0:
      case 1:
      case 2:
        return fleet.OpenFlow(first, second);
      case 3:
        return fleet.CloseFlows(first, second);
      case 4:
      case 5:
        return fleet.GiveTable(first, 0);
      case 6:
        return fleet.GiveTable(first, second);
      case 7:
        return fleet.GiveEntry(first, second);
      case 8:
      case 9:
      case 10:
        return fleet.SendReport(first, second);
      case 11:
        return fleet.SendLie(first * second);
      case 12:
      case 13:
      case 14:
        return fleet.DeliverReport(first);
      case 15:
        return fleet.TellStanding(first, second);
      case 16:
        return second < 16 ? fleet.Restart(first) : fleet.Step(kShortStep);
      case 17:
        return second < 16 ? fleet.TakeOver(first) : fleet.Step(kShortStep);
      case 18:
        return second < 48 ? fleet.TellDead(first) : fleet.SayFarewell(first);
      case 19:
      case 20:
        return fleet.DeliverAnswer(first);
      case 21:
        return second < 32 ? fleet.RepeatReport(first) : fleet.LoseReport(first);
      case 22:
        return second < 32 ? fleet.LoseAnswer(first) : fleet.DeliverAnswer(first);
      default:
        return fleet.Step(first * kLongStep / 8);
    }
  }
};

void KeepsItsRules(const PlannerMechanisms& mechanisms, PlannerFleet::PolicyMaker make_policies,
                   const routing::FlowCountEncoderMechanisms& digest_mechanisms = {}) {
  PlannerFleet fleet(mechanisms, make_policies, digest_mechanisms);
  rc::state::check(NoModel(), fleet, [](const NoModel& /*model*/) {
    return rc::gen::exec([] {
      return std::shared_ptr<const rc::state::Command<NoModel, PlannerFleet>>(
          std::make_shared<Event>());
    });
  });
  fleet.ComeToRest();
  RC_ASSERT(fleet.Fault() == "");
  RC_ASSERT(fleet.FaultAtRest() == "");
}

// Moves buckets whatever their chains.
class CarelessAssignment final : public routing::AssignmentPolicy {
 public:
  routing::Assignment Assign(std::span<const routing::AssignmentCandidate> candidates,
                             std::span<const routing::AssignmentBucket> buckets,
                             std::size_t allowance) const override {
    std::vector<routing::AssignmentBucket> without_chains(buckets.begin(), buckets.end());
    for (routing::AssignmentBucket& bucket : without_chains) {
      bucket.previous_owners = {};
    }
    return inner_.Assign(candidates, without_chains, allowance);
  }

 private:
  routing::MinimalMovement inner_{0.0};
};

// Moves all it likes at once.
class HastyAssignment final : public routing::AssignmentPolicy {
 public:
  routing::Assignment Assign(std::span<const routing::AssignmentCandidate> candidates,
                             std::span<const routing::AssignmentBucket> buckets,
                             std::size_t /*allowance*/) const override {
    return inner_.Assign(candidates, buckets, buckets.size());
  }

 private:
  routing::MinimalMovement inner_{0.0};
};

// Gives a bucket to any agent of the table, live or not.
class BlindAssignment final : public routing::AssignmentPolicy {
 public:
  routing::Assignment Assign(std::span<const routing::AssignmentCandidate> candidates,
                             std::span<const routing::AssignmentBucket> buckets,
                             std::size_t allowance) const override {
    routing::Assignment assignment = inner_.Assign(candidates, buckets, allowance);
    std::erase_if(assignment.forced, [&](const routing::BucketMove& move) {
      return buckets[move.index.value()].owner_alive;  // leaving owners keep their buckets
    });
    return assignment;
  }

 private:
  routing::MinimalMovement inner_{0.0};
};

template <class Assignment>
routing::PlannerPolicies WithAssignment(const routing::PlannerSettings& settings) {
  routing::PlannerPolicies policies = routing::MakePlannerPolicies(settings);
  policies.assignment = std::make_unique<Assignment>();
  return policies;
}

// Never more agents out than the cap allows, however they fail and come and go.
void EjectsNoMoreThan(double cap_used) {
  constexpr double kCap = 0.34;
  routing::OutlierEjection ejection(0.5, std::chrono::seconds(30), cap_used);
  base::TimePoint now{};
  const auto rounds = *rc::gen::inRange(1, 30);
  for (int round = 0; round < rounds; ++round) {
    const auto count = *rc::gen::inRange<std::size_t>(1, 12);
    std::vector<routing::AgentView> views(count);
    for (std::size_t position = 0; position < count; ++position) {
      views[position].node = base::NodeId(position + 1);
      views[position].failure_rate = *rc::gen::inRange(0, 20);
    }
    std::vector<double> shares(count, 1.0);
    now += std::chrono::seconds(*rc::gen::inRange(0, 20));
    ejection.Adjust(views, now, shares);
    const auto out = static_cast<std::size_t>(std::count(shares.begin(), shares.end(), 0.0));
    RC_ASSERT(out <= static_cast<std::size_t>(kCap * static_cast<double>(count)));
  }
}

const RegisteredProof planner_rules("planner_keeps_its_rules", ProofKind::kHolds, [] {
  KeepsItsRules(PlannerMechanisms(), routing::MakePlannerPolicies);
});

const RegisteredProof ejection_cap("ejection_keeps_its_cap", ProofKind::kHolds,
                                   [] { EjectsNoMoreThan(0.34); });

const RegisteredProof mutant_keep("without_keeping_the_previous_owner", ProofKind::kMutantIsCaught,
                                  [] {
                                    PlannerMechanisms mechanisms;
                                    mechanisms.keep_previous_owner = false;
                                    KeepsItsRules(mechanisms, routing::MakePlannerPolicies);
                                  });

const RegisteredProof mutant_reports("without_current_reports", ProofKind::kMutantIsCaught, [] {
  PlannerMechanisms mechanisms;
  mechanisms.current_reports_only = false;
  KeepsItsRules(mechanisms, routing::MakePlannerPolicies);
});

const RegisteredProof mutant_restore("without_restoring_holders", ProofKind::kMutantIsCaught, [] {
  PlannerMechanisms mechanisms;
  mechanisms.restore_holders = false;
  KeepsItsRules(mechanisms, routing::MakePlannerPolicies);
});

const RegisteredProof mutant_stamp("without_starting_over_on_take_over", ProofKind::kMutantIsCaught,
                                   [] {
                                     PlannerMechanisms mechanisms;
                                     mechanisms.start_over_on_take_over = false;
                                     KeepsItsRules(mechanisms, routing::MakePlannerPolicies);
                                   });

const RegisteredProof mutant_hold("without_holding_buckets_of_the_dead", ProofKind::kMutantIsCaught,
                                  [] {
                                    PlannerMechanisms mechanisms;
                                    mechanisms.hold_buckets_of_the_dead = false;
                                    KeepsItsRules(mechanisms, routing::MakePlannerPolicies);
                                  });

const RegisteredProof mutant_digest("without_repeating_unanswered_flows",
                                    ProofKind::kMutantIsCaught, [] {
                                      routing::FlowCountEncoderMechanisms mechanisms;
                                      mechanisms.repeat_unanswered = false;
                                      KeepsItsRules(PlannerMechanisms(),
                                                    routing::MakePlannerPolicies, mechanisms);
                                    });

const RegisteredProof mutant_careless("careless_of_chains", ProofKind::kMutantIsCaught, [] {
  KeepsItsRules(PlannerMechanisms(), WithAssignment<CarelessAssignment>);
});

const RegisteredProof mutant_hasty("hasty_moves", ProofKind::kMutantIsCaught, [] {
  KeepsItsRules(PlannerMechanisms(), WithAssignment<HastyAssignment>);
});

const RegisteredProof mutant_blind("leaving_owners_stay", ProofKind::kMutantIsCaught, [] {
  KeepsItsRules(PlannerMechanisms(), WithAssignment<BlindAssignment>);
});

const RegisteredProof mutant_cap("ejection_without_cap", ProofKind::kMutantIsCaught,
                                 [] { EjectsNoMoreThan(1.0); });

}  // namespace
}  // namespace gaugevalve::proofs
