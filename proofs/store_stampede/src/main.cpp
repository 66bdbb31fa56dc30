// store-stampede: prints what readers do to a store that was away and comes back, in simulated
// time. One line of key=value pairs for each number of readers.

#include <absl/flags/flag.h>

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "gaugevalve/command_line/parse.h"
#include "stampede.h"

ABSL_FLAG(std::vector<std::string>, readers, std::vector<std::string>({"8"}),
          "numbers of readers, a run each");
ABSL_FLAG(double, rate_limit, 100, "the store's limit in requests a second");
ABSL_FLAG(double, budget_share, 0.5, "part of the limit that the readers' budgets add up to");
ABSL_FLAG(bool, budgeted, true, "whether the readers have budgets");
ABSL_FLAG(bool, spread, true, "whether reconnects are spread over the budget");
ABSL_FLAG(bool, compacted, false, "whether the store compacted its history meanwhile");
ABSL_FLAG(std::uint32_t, outage_seconds, 600, "length of the outage");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the random choices");

namespace {

void RunAndPrint(std::uint32_t readers) {
  namespace proofs = gaugevalve::proofs;
  proofs::StampedeSettings settings;
  settings.readers = readers;
  settings.store_rate_limit = absl::GetFlag(FLAGS_rate_limit);
  settings.budget_share = absl::GetFlag(FLAGS_budget_share);
  settings.budgeted = absl::GetFlag(FLAGS_budgeted);
  settings.spread = absl::GetFlag(FLAGS_spread);
  settings.compacted = absl::GetFlag(FLAGS_compacted);
  settings.outage = std::chrono::seconds(absl::GetFlag(FLAGS_outage_seconds));
  settings.seed = absl::GetFlag(FLAGS_seed);
  const proofs::StampedeReport report = proofs::RunStampede(settings);
  std::cout << "readers=" << readers << " budgeted=" << settings.budgeted
            << " spread=" << settings.spread << " compacted=" << settings.compacted
            << " rate_limit=" << settings.store_rate_limit
            << " peak_at_loss=" << report.peak_at_loss
            << " peak_in_outage=" << report.peak_in_outage
            << " peak_on_return=" << report.peak_on_return
            << " rate_limited=" << report.rate_limited << " recovery_seconds="
            << std::chrono::duration_cast<std::chrono::seconds>(report.recovery).count()
            << " recovered=" << report.recovered << '\n';
}

}  // namespace

int main(int argc, char** argv) {
  gaugevalve::command_line::Parse(
      argc, argv,
      "Prints what readers do to a store that was away and comes back, in simulated time.\n"
      "Exit status: 0 done, 1 an unknown flag, 2 a wrong number of readers.");
  constexpr int kExitUsage = 2;
  for (const std::string& text : absl::GetFlag(FLAGS_readers)) {
    char* end = nullptr;
    const unsigned long readers = std::strtoul(text.c_str(), &end, 10);
    constexpr unsigned long kMostReaders = 100'000;
    if (end == text.c_str() || *end != '\0' || readers == 0 || readers > kMostReaders) {
      std::cerr << "--readers: not a number from 1 to " << kMostReaders << ": " << text << '\n';
      return kExitUsage;
    }
    RunAndPrint(static_cast<std::uint32_t>(readers));
  }
  return EXIT_SUCCESS;
}
