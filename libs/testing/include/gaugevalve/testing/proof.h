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

// What the cases of a property did, so that it can't hold by being about nothing.
struct Coverage {
  bool is_enough = true;
  std::string counts;  // for people: "leases taken 12, actions 7"
};

// What a run must show besides its verdict. A plain value; both members may be empty.
struct ProofDemands {
  // Words that the counter-example of a mutant must have, so that it is caught for the right
  // reason.
  std::string counter_example;
  // Asked once, after the cases of a property that holds.
  std::function<Coverage()> coverage;
};

// Registers a property with the proof program at start-up; define one at namespace scope. The
// program is linked with gaugevalve::proof, which brings main(): `--help` lists the flags that
// steer it, the seed is printed, and a failure prints how to replay it.
class RegisteredProof {
 public:
  // `property` is run once for a case and fails by RapidCheck's assertions.
  RegisteredProof(std::string name, ProofKind kind, std::function<void()> property,
                  ProofDemands demands = {});
};

}  // namespace gaugevalve::testing
