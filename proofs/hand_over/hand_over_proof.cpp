// Checks the guarantee "Each request that is handed over ends exactly once, with a true outcome" on
// requests::HandOver of several agents, with lost, duplicated, reordered and delayed messages,
// frozen, killed and restarted agents, drains, cancellations, deadlines and pauses of request and
// answer bodies.
//
// Oracle (RequestOracle): no request reported as "not run" runs before or after the report; an
// unsafe request runs at most once; bodies and answers are identical byte for byte; a request is
// handed over at most once; no request is held past its deadline; tables stay within their bounds;
// every request ends.
//
// A second property checks "no living executor is ever lost, and each hand-over makes progress
// within the peer time-out" on two agents whose links are congested at random rates.

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include "congestion_simulation.h"
#include "gaugevalve/testing/proof.h"
#include "hand_over_simulation.h"

namespace gaugevalve::proofs {
namespace {

using requests::HandOverMechanisms;

struct NoModel {};

// One event. Its kind and arguments are numbers, so that shrinking finds a short and simple
// sequence.
struct Event : rc::state::Command<NoModel, HandOverSimulation> {
  std::uint32_t kind = *rc::gen::inRange<std::uint32_t>(0, 38);
  std::uint32_t first = *rc::gen::inRange<std::uint32_t>(0, 64);
  std::uint32_t second = *rc::gen::inRange<std::uint32_t>(0, 64);

  void run(const NoModel& /*model*/, HandOverSimulation& simulation) const override {
    Apply(simulation);
    if (!simulation.Violation().empty()) {
      RC_FAIL(simulation.Violation());
    }
  }

  void show(std::ostream& stream) const override {
    stream << "event " << kind << " (" << first << ", " << second << ")";
  }

  void Apply(HandOverSimulation& simulation) const {
    constexpr std::uint32_t kShortStepMs = 10;
    constexpr std::uint32_t kLongStepMs = 90;
    switch (kind) {
      case 0:
      case 1:
      case 2:
      case 3:
      case 4:
        return simulation.Request(first, second);
      case 5:
        return simulation.CancelRequest(first);
      case 6:
        return simulation.PauseAnswer(first, second % 2 == 0);
      case 7:
        return simulation.PauseBody(first, second % 2 == 0);
      case 8:
        return simulation.LoseMessage(first);
      case 9:
      case 10:
      case 11:
        return simulation.HoldBackMessage(first, second % 3 != 0);
      case 12:
      case 13:
        return simulation.DeliverHeldBack(first);
      case 14:
        return second % 3 == 0 ? simulation.Kill(first) : simulation.Restart(first);
      case 15:
        return simulation.Restart(first);
      case 16:
        return simulation.Freeze(first);
      case 17:
      case 18:
        return simulation.Thaw(first);
      case 19:
      case 20:
        return second % 2 == 0 ? simulation.SetDraining(first, second % 3 == 0)
                               : simulation.SetBusy(first, second % 3 == 0);
      case 21:
        return simulation.SetListed(first, second % 4 != 0);
      case 22:
        return simulation.DeliverTable(first);
      case 23:
      case 24:
        return simulation.AdvanceTime(first * kShortStepMs);
      case 25:
      case 26:
        return simulation.RunNetworkFor(first * kLongStepMs);
      case 27:
      case 28:
      case 29:
        return simulation.DeliverAll();
      case 30:
      case 31:
      case 32:
      case 33:
        return simulation.AdvanceRun(first, second);
      default:
        return simulation.DeliverMessage(first);
    }
  }
};

void EndsOnceWithTrueOutcome(const HandOverMechanisms& mechanisms) {
  // With one remembered origin an agent evicts origins; with 8, the more common case, it does not.
  HandOverSimulation simulation(mechanisms, *rc::gen::element<std::size_t>(1, 8, 8, 8));
  rc::state::check(NoModel(), simulation, [](const NoModel& /*model*/) {
    return rc::gen::exec([] {
      return std::shared_ptr<const rc::state::Command<NoModel, HandOverSimulation>>(
          std::make_shared<Event>());
    });
  });
  simulation.FinishAndCheck();
  if (!simulation.Violation().empty()) {
    RC_FAIL(simulation.Violation());
  }
}

const testing::RegisteredProof ends_once("handed_over_request_ends_once_and_truly",
                                         testing::ProofKind::kHolds,
                                         [] { EndsOnceWithTrueOutcome(HandOverMechanisms()); });

void SurvivesCongestion(const HandOverMechanisms& mechanisms) {
  CongestionScenario scenario;
  scenario.hand_overs = *rc::gen::inRange<std::size_t>(1, 33);
  scenario.answer_frames = *rc::gen::inRange<std::size_t>(0, 65);
  scenario.body_frames = *rc::gen::inRange<std::size_t>(0, 17);
  scenario.messages_to_origin = *rc::gen::inRange<std::size_t>(1, 17);
  scenario.messages_to_executor = *rc::gen::inRange<std::size_t>(1, 17);
  const CongestionResult result = CongestionSimulation(scenario, mechanisms).Run();
  RC_ASSERT(result.lost == 0U);
  RC_ASSERT(result.answered == scenario.hand_overs);
  RC_ASSERT(result.longest_pause < requests::HandOverLimits().peer_timeout);
}

const testing::RegisteredProof survives_congestion("congestion_loses_no_living_executor",
                                                   testing::ProofKind::kHolds,
                                                   [] { SurvivesCongestion({}); });

const testing::RegisteredProof without_agent_liveness(
    "without_agent_liveness", testing::ProofKind::kMutantIsCaught, [] {
      HandOverMechanisms mechanisms;
      mechanisms.agent_liveness = false;
      mechanisms.bound_frames = false;  // otherwise no hand-over is silent for long
      SurvivesCongestion(mechanisms);
    });
const testing::RegisteredProof without_bound_frames("without_bound_frames",
                                                    testing::ProofKind::kMutantIsCaught, [] {
                                                      HandOverMechanisms mechanisms;
                                                      mechanisms.bound_frames = false;
                                                      SurvivesCongestion(mechanisms);
                                                    });

// Registers the property with one mechanism disabled; it must fail.
testing::RegisteredProof MutantWithout(const char* name, bool HandOverMechanisms::*mechanism) {
  return {name, testing::ProofKind::kMutantIsCaught, [mechanism] {
            HandOverMechanisms mechanisms;
            mechanisms.*mechanism = false;
            EndsOnceWithTrueOutcome(mechanisms);
          }};
}

const testing::RegisteredProof sequence =
    MutantWithout("without_check_sequence", &HandOverMechanisms::check_sequence);
const testing::RegisteredProof incarnation =
    MutantWithout("without_check_incarnation", &HandOverMechanisms::check_incarnation);
const testing::RegisteredProof hops =
    MutantWithout("without_bound_hops", &HandOverMechanisms::bound_hops);
const testing::RegisteredProof ended =
    MutantWithout("without_remember_ended", &HandOverMechanisms::remember_ended);
const testing::RegisteredProof silence =
    MutantWithout("without_silence_is_unknown", &HandOverMechanisms::silence_is_unknown);
const testing::RegisteredProof repeats =
    MutantWithout("without_repeat_only_safe", &HandOverMechanisms::repeat_only_safe);
const testing::RegisteredProof loss =
    MutantWithout("without_remember_loss", &HandOverMechanisms::remember_loss);
const testing::RegisteredProof refused =
    MutantWithout("without_remember_refused", &HandOverMechanisms::remember_refused);
const testing::RegisteredProof in_flight =
    MutantWithout("without_bound_in_flight", &HandOverMechanisms::bound_in_flight);

}  // namespace
}  // namespace gaugevalve::proofs
