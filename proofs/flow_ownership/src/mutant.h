// The protections that the proof disables, one at a time, to check that it detects the fault.
#pragma once

#include <cstdint>

namespace gaugevalve::proofs {

enum class Mutant : std::uint8_t {
  kNone,
  kSkipsChainWalk,       // an owner opens a flow without asking the previous owners
  kForgetsCarriedEntry,  // an agent uses a newer entry of a datagram but does not store it
  kIgnoresOtherClaims,   // the last agent of a walk that has the flow serves it, instead of the one
                         // with the best claim
  kTrustsHeldFlows,      // an agent serves every flow it holds, even if the bucket has moved
  kIgnoresFreshness,     // an agent opens flows regardless of the age of its table
  kIgnoresPause,         // an agent that was frozen continues as if it had not been
  kIgnoresIncarnation,   // an agent accepts a table that lists its previous incarnation
  kAcceptsForeign,       // an agent accepts datagrams of other services and agents
  kDeclaresDeadAtOnce,   // the planner acts on membership's report, before the agent's table is
                         // stale
  kTrustsOldReports,     // the planner removes an agent from a chain on a report older than the
                         // bucket's entry
};

}  // namespace gaugevalve::proofs
