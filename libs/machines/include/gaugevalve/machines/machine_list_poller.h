// Decides when the machine list is fetched and what a fetched one is worth.
#pragma once

#include <cstdint>
#include <optional>

#include "gaugevalve/base/random_source.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/http_client/http_types.h"
#include "gaugevalve/machines/machine_list.h"

namespace gaugevalve::machines {

// How often the list is fetched.
struct MachineListPollerSettings {
  base::Duration period = std::chrono::seconds(30);  // drawn from [half, whole] of this
  base::Duration timeout = std::chrono::seconds(5);
};

// Pure core; not thread-safe. Fetches one at a time, spread over time so that the nodes of a
// deployment don't ask together. After a failure it waits for the next period as after a success:
// the list is a hint that nothing waits for.
class MachineListPoller {
 public:
  MachineListPoller(const MachineListPollerSettings& settings, std::uint64_t seed);

  // Returns true when a fetch is to be started now; it counts as running from then on.
  bool StartIfDue(base::TimePoint now);

  // Returns true when the running fetch has taken too long; it is to be cancelled and counts as
  // failed.
  bool ExpireIfDue(base::TimePoint now);

  // Takes the whole answer to the running fetch. Returns the list when it is newer than the last
  // one; nothing when it isn't, or can't be read.
  std::optional<ParsedMachineList> OnAnswer(const http_client::HttpAnswer& answer,
                                            base::TimePoint now);

  // The running fetch failed.
  void OnFailure(base::TimePoint now);

  // Returns when StartIfDue() or ExpireIfDue() is next needed.
  base::TimePoint NextDue() const { return due_; }

  // Returns how many fetches in a row have brought nothing readable.
  std::uint64_t ConsecutiveFailures() const { return failures_; }

 private:
  void ScheduleNext(base::TimePoint now);

  MachineListPollerSettings settings_;
  base::RandomSource random_;
  bool running_ = false;
  base::TimePoint due_{};  // start of the next fetch, or time-out of the running one
  std::optional<std::uint64_t> last_version_;
  std::uint64_t failures_ = 0;
};

}  // namespace gaugevalve::machines
