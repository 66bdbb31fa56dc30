// main() of every proof program.

#include <rapidcheck.h>

#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <utility>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "gaugevalve/testing/proof.h"

ABSL_FLAG(std::uint64_t, seed, 20261202, "Seed of the generated cases.");
ABSL_FLAG(int, cases, 100, "Cases of each property; a mutant gets up to fifty times as many.");
ABSL_FLAG(int, size, 100, "Largest size of a case: about the number of commands.");
ABSL_FLAG(std::string, only, "", "Run only the property with this name.");

namespace gaugevalve::testing {
namespace {

struct Proof {
  std::string name;
  ProofKind kind;
  std::function<void()> property;
};

std::vector<Proof>& Proofs() {
  static std::vector<Proof> proofs;
  return proofs;
}

rc::detail::TestResult Check(const Proof& proof) {
  constexpr int kMutantEffort = 50;
  rc::detail::TestParams params;
  params.seed = absl::GetFlag(FLAGS_seed);
  params.maxSize = absl::GetFlag(FLAGS_size);
  params.maxSuccess = absl::GetFlag(FLAGS_cases);
  if (proof.kind == ProofKind::kMutantIsCaught) {
    params.maxSuccess *= kMutantEffort;
    params.disableShrinking = true;
  }
  rc::detail::TestMetadata metadata;
  metadata.id = proof.name;
  metadata.description = proof.name;
  return rc::detail::checkTestable(proof.property, metadata, params);
}

bool HoldsAsExpected(const Proof& proof) {
  const rc::detail::TestResult result = Check(proof);
  if (proof.kind == ProofKind::kMutantIsCaught) {
    const bool caught = result.is<rc::detail::FailureResult>();
    std::cout << (caught ? "ok   mutant is caught: " : "FAIL mutant is not caught: ") << proof.name
              << "\n";
    return caught;
  }
  const bool holds = result.is<rc::detail::SuccessResult>();
  std::cout << (holds ? "ok   holds: " : "FAIL does not hold: ") << proof.name << "\n";
  if (!holds) {
    rc::detail::printResultMessage(result, std::cout);
    std::cout << "\nreplay: --seed " << absl::GetFlag(FLAGS_seed) << " --cases "
              << absl::GetFlag(FLAGS_cases) << " --size " << absl::GetFlag(FLAGS_size) << " --only "
              << proof.name << "\n";
  }
  return holds;
}

}  // namespace

RegisteredProof::RegisteredProof(std::string name, ProofKind kind, std::function<void()> property) {
  Proofs().push_back({std::move(name), kind, std::move(property)});
}

}  // namespace gaugevalve::testing

int main(int argc, char** argv) {
  using gaugevalve::testing::Proofs;
  absl::SetProgramUsageMessage(
      "Runs stateful properties and their mutants; exits 1 when one fails.");
  absl::ParseCommandLine(argc, argv);
  std::cout << "seed " << absl::GetFlag(FLAGS_seed) << ", " << absl::GetFlag(FLAGS_cases)
            << " cases, size " << absl::GetFlag(FLAGS_size) << std::endl;
  bool all_hold = true;
  int run = 0;
  for (const auto& proof : Proofs()) {
    const std::string only = absl::GetFlag(FLAGS_only);
    if (only.empty() || only == proof.name) {
      all_hold = gaugevalve::testing::HoldsAsExpected(proof) && all_hold;
      ++run;
    }
  }
  return all_hold && run > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
