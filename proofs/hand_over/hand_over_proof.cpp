// "Each request that is handed over ends exactly once, with a true outcome": requests::HandOver of
// several agents, through lost, doubled, reordered and late messages, frozen, killed and restarted
// agents, drains, cancellations, deadlines and pauses of both bodies.
//
// Oracle (RequestLedger): never told "not run" of what ran or runs later, no second run of an
// unsafe request, bodies and answers byte for byte, one hop, nothing held past its deadline, tables
// within their bounds, and everything ends.

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include "gaugevalve/testing/proof.h"
#include "hand_over_world.h"

namespace gaugevalve::proofs {
namespace {

using requests::HandOverMechanisms;

struct NoModel {};

// One event, chosen by number so that shrinking finds a short and simple history.
struct Event : rc::state::Command<NoModel, HandOverWorld> {
  std::uint32_t kind = *rc::gen::inRange<std::uint32_t>(0, 38);
  std::uint32_t first = *rc::gen::inRange<std::uint32_t>(0, 64);
  std::uint32_t second = *rc::gen::inRange<std::uint32_t>(0, 64);

  void run(const NoModel& /*model*/, HandOverWorld& world) const override {
    Apply(world);
    if (!world.Broken().empty()) {
      RC_FAIL(world.Broken());
    }
  }

  void show(std::ostream& stream) const override {
    stream << "event " << kind << " (" << first << ", " << second << ")";
  }

  void Apply(HandOverWorld& world) const {
    constexpr std::uint32_t kShortStep = 10;
    constexpr std::uint32_t kLongStep = 90;
    switch (kind) {
      case 0:
      case 1:
      case 2:
      case 3:
      case 4:
        return world.Request(first, second);
      case 5:
        return world.CancelRequest(first);
      case 6:
        return world.PauseAnswer(first, second % 2 == 0);
      case 7:
        return world.PauseBody(first, second % 2 == 0);
      case 8:
        return world.LoseMessage(first);
      case 9:
      case 10:
      case 11:
        return world.DelayMessage(first, second % 3 != 0);
      case 12:
      case 13:
        return world.DeliverLate(first);
      case 14:
        return second % 3 == 0 ? world.Kill(first) : world.Restart(first);
      case 15:
        return world.Restart(first);
      case 16:
        return world.Freeze(first);
      case 17:
      case 18:
        return world.Wake(first);
      case 19:
      case 20:
        return second % 2 == 0 ? world.SetDraining(first, second % 3 == 0)
                               : world.SetBusy(first, second % 3 == 0);
      case 21:
        return world.SetListed(first, second % 4 != 0);
      case 22:
        return world.GiveTable(first);
      case 23:
      case 24:
        return world.PassTime(first * kShortStep);
      case 25:
      case 26:
        return world.RunFor(first * kLongStep);
      case 27:
      case 28:
      case 29:
        return world.DeliverAll();
      case 30:
      case 31:
      case 32:
      case 33:
        return world.AdvanceRun(first, second);
      default:
        return world.DeliverMessage(first);
    }
  }
};

void EndsOnceAndTruly(const HandOverMechanisms& mechanisms) {
  // One remembered origin makes an agent forget; plenty is the common case.
  HandOverWorld world(mechanisms, *rc::gen::element<std::size_t>(1, 8, 8, 8));
  rc::state::check(NoModel(), world, [](const NoModel& /*model*/) {
    return rc::gen::exec([] {
      return std::shared_ptr<const rc::state::Command<NoModel, HandOverWorld>>(
          std::make_shared<Event>());
    });
  });
  world.Settle();
  if (!world.Broken().empty()) {
    RC_FAIL(world.Broken());
  }
}

const testing::RegisteredProof ends_once("handed_over_request_ends_once_and_truly",
                                         testing::ProofKind::kHolds,
                                         [] { EndsOnceAndTruly(HandOverMechanisms()); });

// Registers the property with one mechanism switched off.
testing::RegisteredProof Without(const char* name, bool HandOverMechanisms::*mechanism) {
  return {name, testing::ProofKind::kMutantIsCaught, [mechanism] {
            HandOverMechanisms mechanisms;
            mechanisms.*mechanism = false;
            EndsOnceAndTruly(mechanisms);
          }};
}

const testing::RegisteredProof sequence =
    Without("without_check_sequence", &HandOverMechanisms::check_sequence);
const testing::RegisteredProof incarnation =
    Without("without_check_incarnation", &HandOverMechanisms::check_incarnation);
const testing::RegisteredProof hops =
    Without("without_bound_hops", &HandOverMechanisms::bound_hops);
const testing::RegisteredProof ended =
    Without("without_remember_ended", &HandOverMechanisms::remember_ended);
const testing::RegisteredProof silence =
    Without("without_silence_is_unknown", &HandOverMechanisms::silence_is_unknown);
const testing::RegisteredProof repeats =
    Without("without_repeat_only_safe", &HandOverMechanisms::repeat_only_safe);
const testing::RegisteredProof loss =
    Without("without_remember_loss", &HandOverMechanisms::remember_loss);
const testing::RegisteredProof refused =
    Without("without_remember_refused", &HandOverMechanisms::remember_refused);
const testing::RegisteredProof in_flight =
    Without("without_bound_in_flight", &HandOverMechanisms::bound_in_flight);

}  // namespace
}  // namespace gaugevalve::proofs
