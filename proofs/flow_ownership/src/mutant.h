// The protections that the proof takes away, one at a time, to see that it notices.
#pragma once

#include <cstdint>

namespace gaugevalve::proofs {

enum class Mutant : std::uint8_t {
  kNone,
  kSkipsChainWalk,       // an owner opens without asking the previous owners
  kForgetsCarriedEntry,  // an agent goes by a newer entry of a datagram but does not remember it
  kIgnoresOtherClaims,   // the last one on a walk that has the flow serves it, not the rightful one
  kTrustsHeldFlows,      // an agent serves what it holds, whatever happened to the bucket
  kIgnoresFreshness,     // an agent opens flows however old its table is
  kIgnoresPause,         // an agent that was frozen goes on as if it had not been
  kIgnoresIncarnation,   // an agent takes a table of its former life for its own
  kAcceptsForeign,       // an agent takes datagrams of other services and agents
  kDeclaresDeadAtOnce,   // the planner goes by membership's word, which is sooner than a table is
                         // old
  kTrustsOldReports,     // the planner lets an agent go on a report older than the bucket's entry
};

}  // namespace gaugevalve::proofs
