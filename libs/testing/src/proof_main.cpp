// main() of every proof program.

#include <rapidcheck.h>

#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <utility>
#include <vector>

#include "absl/flags/flag.h"
#include "gaugevalve/command_line/parse.h"
#include "gaugevalve/testing/proof.h"

ABSL_FLAG(std::uint64_t, seed, 20261202, "Seed of the generated cases.");
ABSL_FLAG(int, cases, 100, "Cases of each property.");
ABSL_FLAG(int, mutant_effort, 50, "A mutant gets up to this many times as many cases.");
ABSL_FLAG(int, size, 100, "Largest size of a case: about the number of commands.");
ABSL_FLAG(std::string, only, "", "Run only the property with this name.");

namespace gaugevalve::testing {
namespace {

struct Proof {
  std::string name;
  ProofKind kind;
  std::function<void()> property;
  ProofDemands demands;
};

std::vector<Proof>& Proofs() {
  static std::vector<Proof> proofs;
  return proofs;
}

rc::detail::TestResult Check(const Proof& proof) {
  rc::detail::TestParams params;
  params.seed = absl::GetFlag(FLAGS_seed);
  params.maxSize = absl::GetFlag(FLAGS_size);
  params.maxSuccess = absl::GetFlag(FLAGS_cases);
  if (proof.kind == ProofKind::kMutantIsCaught) {
    params.maxSuccess *= absl::GetFlag(FLAGS_mutant_effort);
    params.disableShrinking = true;
  }
  rc::detail::TestMetadata metadata;
  metadata.id = proof.name;
  metadata.description = proof.name;
  return rc::detail::checkTestable(proof.property, metadata, params);
}

void PrintReplay(const Proof& proof) {
  std::cout << "\nreplay: --seed " << absl::GetFlag(FLAGS_seed) << " --cases "
            << absl::GetFlag(FLAGS_cases) << " --size " << absl::GetFlag(FLAGS_size)
            << " --mutant_effort " << absl::GetFlag(FLAGS_mutant_effort) << " --only " << proof.name
            << "\n";
}

bool MutantIsCaught(const Proof& proof) {
  const rc::detail::TestResult result = Check(proof);
  if (!result.is<rc::detail::FailureResult>()) {
    std::cout << "FAIL mutant is not caught: " << proof.name << "\n";
    return false;
  }
  const std::string& found = result.get<rc::detail::FailureResult>().description;
  if (found.find(proof.demands.counter_example) == std::string::npos) {
    std::cout << "FAIL mutant is caught, but not by \"" << proof.demands.counter_example
              << "\": " << proof.name << "\n"
              << found;
    PrintReplay(proof);
    return false;
  }
  std::cout << "ok   mutant is caught: " << proof.name << "\n";
  return true;
}

bool CasesAreEnough(const Proof& proof) {
  if (!proof.demands.coverage) {
    return true;
  }
  const Coverage coverage = proof.demands.coverage();
  std::cout << (coverage.is_enough ? "     " : "FAIL too little happened: ") << coverage.counts
            << "\n";
  return coverage.is_enough;
}

bool PropertyHolds(const Proof& proof) {
  const rc::detail::TestResult result = Check(proof);
  if (!result.is<rc::detail::SuccessResult>()) {
    std::cout << "FAIL does not hold: " << proof.name << "\n";
    rc::detail::printResultMessage(result, std::cout);
    PrintReplay(proof);
    return false;
  }
  std::cout << "ok   holds: " << proof.name << "\n";
  return CasesAreEnough(proof);
}

bool IsAsExpected(const Proof& proof) {
  return proof.kind == ProofKind::kMutantIsCaught ? MutantIsCaught(proof) : PropertyHolds(proof);
}

}  // namespace

RegisteredProof::RegisteredProof(std::string name, ProofKind kind, std::function<void()> property,
                                 ProofDemands demands) {
  Proofs().push_back({std::move(name), kind, std::move(property), std::move(demands)});
}

}  // namespace gaugevalve::testing

int main(int argc, char** argv) {
  using gaugevalve::testing::Proofs;
  gaugevalve::command_line::Parse(
      argc, argv, "Runs stateful properties and their mutants; exits 1 when one fails.");
  std::cout << "seed " << absl::GetFlag(FLAGS_seed) << ", " << absl::GetFlag(FLAGS_cases)
            << " cases, size " << absl::GetFlag(FLAGS_size) << std::endl;
  bool all_hold = true;
  int run = 0;
  for (const auto& proof : Proofs()) {
    const std::string only = absl::GetFlag(FLAGS_only);
    if (only.empty() || only == proof.name) {
      all_hold = gaugevalve::testing::IsAsExpected(proof) && all_hold;
      ++run;
    }
  }
  return all_hold && run > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
