// Stateful property test of the planner of a service: restarts and failures of its agents,
// take-overs from old tables, and late, reordered and false reports.
//
// Oracle: the true flows of every agent. An agent that a bucket's entry no longer lists holds no
// flow in it and opens none, also if it was declared dead and is only isolated from control. Owners
// are live; chains and moves are bounded. Once the table is stable, all flows are listed and no
// bucket moves any more.

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

// One event, chosen by number so that shrinking finds a short and simple sequence.
struct Event : rc::state::Command<NoModel, PlannerFleet> {
  std::uint32_t kind = *rc::gen::inRange<std::uint32_t>(0, 26);
  std::uint32_t first = *rc::gen::inRange<std::uint32_t>(0, 64);
  std::uint32_t second = *rc::gen::inRange<std::uint32_t>(0, 64);

  void run(const NoModel& /*model*/, PlannerFleet& fleet) const override {
    Apply(fleet);
    RC_ASSERT(fleet.Violation() == "");
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
        return fleet.DeliverTable(first, 0);
      case 6:
        return fleet.DeliverTable(first, second);
      case 7:
        return fleet.DeliverEntry(first, second);
      case 8:
      case 9:
      case 10:
        return fleet.SendReport(first, second);
      case 11:
        return fleet.SendFalseReport(first * second);
      case 12:
      case 13:
      case 14:
        return fleet.DeliverReport(first);
      case 15:
        return fleet.SetLiveness(first, second);
      case 16:
        return second < 16 ? fleet.Restart(first) : fleet.Step(kShortStep);
      case 17:
        return second < 16 ? fleet.TakeOver(first) : fleet.Step(kShortStep);
      case 18:
        return second < 48 ? fleet.DeclareDead(first) : fleet.LeaveGracefully(first);
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

void CheckPlannerInvariants(const PlannerMechanisms& mechanisms,
                            PlannerFleet::PolicyMaker make_policies,
                            const routing::FlowCountEncoderMechanisms& encoder_mechanisms = {}) {
  PlannerFleet fleet(mechanisms, make_policies, encoder_mechanisms);
  rc::state::check(NoModel(), fleet, [](const NoModel& /*model*/) {
    return rc::gen::exec([] {
      return std::shared_ptr<const rc::state::Command<NoModel, PlannerFleet>>(
          std::make_shared<Event>());
    });
  });
  fleet.RunUntilStable();
  RC_ASSERT(fleet.Violation() == "");
  RC_ASSERT(fleet.ViolationWhenStable() == "");
}

// Moves buckets without regard to their chains.
class ChainIgnoringAssignment final : public routing::AssignmentPolicy {
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

// Moves any number of buckets at once.
class UnboundedAssignment final : public routing::AssignmentPolicy {
 public:
  routing::Assignment Assign(std::span<const routing::AssignmentCandidate> candidates,
                             std::span<const routing::AssignmentBucket> buckets,
                             std::size_t /*allowance*/) const override {
    return inner_.Assign(candidates, buckets, buckets.size());
  }

 private:
  routing::MinimalMovement inner_{0.0};
};

// Leaves buckets with leaving owners.
class LeavingOwnerKeepingAssignment final : public routing::AssignmentPolicy {
 public:
  routing::Assignment Assign(std::span<const routing::AssignmentCandidate> candidates,
                             std::span<const routing::AssignmentBucket> buckets,
                             std::size_t allowance) const override {
    routing::Assignment assignment = inner_.Assign(candidates, buckets, allowance);
    std::erase_if(assignment.forced, [&](const routing::BucketMove& move) {
      return buckets[move.index.value()].owner_alive;  // the owner is leaving and keeps its bucket
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

// Never more agents are ejected than the cap allows, however agents fail, leave and join.
void CheckEjectionCap(double cap_used) {
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

const RegisteredProof planner_invariants("planner_keeps_its_rules", ProofKind::kHolds, [] {
  CheckPlannerInvariants(PlannerMechanisms(), routing::MakePlannerPolicies);
});

const RegisteredProof ejection_cap("ejection_keeps_its_cap", ProofKind::kHolds,
                                   [] { CheckEjectionCap(0.34); });

const RegisteredProof mutant_keep("without_keeping_the_previous_owner", ProofKind::kMutantIsCaught,
                                  [] {
                                    PlannerMechanisms mechanisms;
                                    mechanisms.keep_previous_owner = false;
                                    CheckPlannerInvariants(mechanisms,
                                                           routing::MakePlannerPolicies);
                                  });

const RegisteredProof mutant_reports("without_current_reports", ProofKind::kMutantIsCaught, [] {
  PlannerMechanisms mechanisms;
  mechanisms.current_reports_only = false;
  CheckPlannerInvariants(mechanisms, routing::MakePlannerPolicies);
});

const RegisteredProof mutant_restore("without_restoring_holders", ProofKind::kMutantIsCaught, [] {
  PlannerMechanisms mechanisms;
  mechanisms.restore_flow_holders = false;
  CheckPlannerInvariants(mechanisms, routing::MakePlannerPolicies);
});

const RegisteredProof mutant_stamp("without_starting_over_on_take_over", ProofKind::kMutantIsCaught,
                                   [] {
                                     PlannerMechanisms mechanisms;
                                     mechanisms.restamp_on_take_over = false;
                                     CheckPlannerInvariants(mechanisms,
                                                            routing::MakePlannerPolicies);
                                   });

const RegisteredProof mutant_hold("without_holding_buckets_of_the_dead", ProofKind::kMutantIsCaught,
                                  [] {
                                    PlannerMechanisms mechanisms;
                                    mechanisms.hold_dead_agent_buckets = false;
                                    CheckPlannerInvariants(mechanisms,
                                                           routing::MakePlannerPolicies);
                                  });

const RegisteredProof mutant_flow_counts("without_repeating_unanswered_flows",
                                         ProofKind::kMutantIsCaught, [] {
                                           routing::FlowCountEncoderMechanisms mechanisms;
                                           mechanisms.repeat_unanswered = false;
                                           CheckPlannerInvariants(PlannerMechanisms(),
                                                                  routing::MakePlannerPolicies,
                                                                  mechanisms);
                                         });

const RegisteredProof mutant_chains_ignored("careless_of_chains", ProofKind::kMutantIsCaught, [] {
  CheckPlannerInvariants(PlannerMechanisms(), WithAssignment<ChainIgnoringAssignment>);
});

const RegisteredProof mutant_unbounded_moves("hasty_moves", ProofKind::kMutantIsCaught, [] {
  CheckPlannerInvariants(PlannerMechanisms(), WithAssignment<UnboundedAssignment>);
});

const RegisteredProof mutant_leaving_owners_stay(
    "leaving_owners_stay", ProofKind::kMutantIsCaught, [] {
      CheckPlannerInvariants(PlannerMechanisms(), WithAssignment<LeavingOwnerKeepingAssignment>);
    });

const RegisteredProof mutant_cap("ejection_without_cap", ProofKind::kMutantIsCaught,
                                 [] { CheckEjectionCap(1.0); });

}  // namespace
}  // namespace gaugevalve::proofs
