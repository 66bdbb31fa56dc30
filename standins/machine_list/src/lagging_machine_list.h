// The machine list with a lag: what the platform says now is what was true a while ago.
#pragma once

#include <deque>
#include <string>
#include <string_view>

#include "gaugevalve/base/time.h"
#include "gaugevalve/machines/machine_list.h"

namespace gaugevalve::standins {

// How wrong the list is.
struct MachineListFaults {
  base::Duration lag{};      // how long a change takes to be shown
  bool unavailable = false;  // the list is answered 503

  friend bool operator==(const MachineListFaults&, const MachineListFaults&) = default;
};

// Returns `current` with the fields that the JSON object names replaced: "lag_ms", "unavailable".
// Throws base::FindingsError with every fault found.
MachineListFaults MachineListFaultsFromJson(const MachineListFaults& current,
                                            std::string_view text);

// Returns the settings as the JSON that MachineListFaultsFromJson() reads.
std::string MachineListFaultsToJson(const MachineListFaults& faults);

// Pure core; not thread-safe. Holds at most kChangeLimit changes that aren't shown yet; past that
// the oldest of them are shown early.
class LaggingMachineList {
 public:
  static constexpr std::size_t kChangeLimit = 10'000;

  // Replaces the list. Its version is counted here; the one given is ignored.
  void SetMachines(std::vector<machines::Machine> machines, base::TimePoint now);

  void SetFaults(const MachineListFaults& faults) { faults_ = faults; }
  const MachineListFaults& Faults() const { return faults_; }

  // Returns the list that is true now.
  const machines::MachineList& Actual() const { return changes_.back().list; }

  // Returns the list that the platform shows at `now`.
  const machines::MachineList& Shown(base::TimePoint now);

 private:
  struct Change {
    base::TimePoint at;
    machines::MachineList list;
  };

  MachineListFaults faults_;
  std::deque<Change> changes_{Change{}};  // the first is shown, the last is true
};

}  // namespace gaugevalve::standins
