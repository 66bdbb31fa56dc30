// Stateful fuzzing of a decision core against an oracle: the frame that every program in proofs/
// shares.
#pragma once

#include <functional>
#include <string>

namespace gaugevalve::testing {

// What a proof program runs. A property holds when RapidCheck finds no counter-example. A mutant is
// the same property with one mechanism switched off: a counter-example must be found, or the
// property proves nothing.
enum class ProofKind { kHolds, kMutantIsCaught };

// Registers a property with the proof program at start-up; define one at namespace scope. The
// program is linked with gaugevalve::proof, which brings main(): `--seed N`, `--cases N` and
// `--only NAME` steer it, the seed is printed, and a failure prints how to replay it.
class RegisteredProof {
 public:
  // `property` is run once for a case and fails by RapidCheck's assertions.
  RegisteredProof(std::string name, ProofKind kind, std::function<void()> property);
};

}  // namespace gaugevalve::testing
