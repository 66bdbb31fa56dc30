// Schedules fetches of the machine list and evaluates the answers.
#pragma once

#include <cstdint>
#include <optional>

#include "gaugevalve/base/random_source.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/http_client/http_types.h"
#include "gaugevalve/machines/machine_list.h"

namespace gaugevalve::machines {

// Timing of the fetches.
struct MachineListPollerSettings {
  base::Duration period =
      std::chrono::seconds(30);  // the time between fetches is drawn from [period / 2, period]
  base::Duration timeout = std::chrono::seconds(5);
};

// Free of I/O; not thread-safe. Runs one fetch at a time, at random intervals so that the nodes of
// a deployment do not all fetch at once. After a failure the next fetch follows at the normal
// interval, because the list is a hint that nothing waits for.
class MachineListPoller {
 public:
  MachineListPoller(const MachineListPollerSettings& settings, std::uint64_t seed);

  // Returns true when a fetch must be started now; it counts as running from then on.
  bool StartIfDue(base::TimePoint now);

  // Returns true when the running fetch has timed out. The caller must cancel it; it counts as
  // failed.
  bool ExpireIfDue(base::TimePoint now);

  // Handles the complete answer to the running fetch. Returns the list if it is newer than the last
  // one, and nothing if it is not or cannot be parsed.
  std::optional<ParsedMachineList> OnAnswer(const http_client::HttpAnswer& answer,
                                            base::TimePoint now);

  // Must be called when the running fetch has failed.
  void OnFailure(base::TimePoint now);

  // Returns when StartIfDue() or ExpireIfDue() must be called next.
  base::TimePoint NextDue() const { return due_; }

  // Returns how many consecutive fetches have failed or returned an unreadable list.
  std::uint64_t ConsecutiveFailures() const { return failures_; }

 private:
  void ScheduleNext(base::TimePoint now);

  MachineListPollerSettings settings_;
  base::RandomSource random_;
  bool running_ = false;
  base::TimePoint due_{};  // start of the next fetch, or timeout of the running one
  std::optional<std::uint64_t> last_version_;
  std::uint64_t failures_ = 0;
};

}  // namespace gaugevalve::machines
