// What many readers do to a store that was away and comes back, in simulated time.
#pragma once

#include <cstdint>

#include "gaugevalve/base/time.h"
#include "gaugevalve/store/backoff.h"

namespace gaugevalve::proofs {

// One run.
struct StampedeSettings {
  std::uint32_t readers = 8;
  double store_rate_limit = 100;  // requests a second, of the whole deployment
  double budget_share = 0.5;      // the part of it that the readers' budgets add up to
  bool budgeted = true;           // false: each reader may send as it likes
  bool spread = true;             // false: reconnects are not spread over the budget
  bool compacted = false;         // true: the readers' revisions are gone on return; all read again
  base::Duration outage = std::chrono::minutes(10);
  std::uint64_t seed = 1;
};

// What was seen.
struct StampedeReport {
  std::uint64_t peak_at_loss = 0;    // per second, in the outage's first ten seconds
  std::uint64_t peak_in_outage = 0;  // per second, in the rest of it
  std::uint64_t peak_on_return = 0;  // per second, from the return until all stream again
  std::uint64_t rate_limited = 0;    // requests that the store answered 429
  base::Duration recovery{};         // from the return until all stream again
  bool recovered = false;            // within ten minutes of the return
};

// Starts the readers, lets all settle, takes the store away for the outage and watches the return.
StampedeReport RunStampede(const StampedeSettings& settings);

}  // namespace gaugevalve::proofs
