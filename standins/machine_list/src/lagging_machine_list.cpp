#include "lagging_machine_list.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "gaugevalve/standins/json_fields.h"

namespace gaugevalve::standins {

MachineListFaults MachineListFaultsFromJson(const MachineListFaults& current,
                                            std::string_view text) {
  MachineListFaults faults = current;
  JsonFields fields("faults", text);
  fields.ReadMilliseconds("lag_ms", faults.lag);
  fields.ReadFlag("unavailable", faults.unavailable);
  fields.Finish();
  return faults;
}

std::string MachineListFaultsToJson(const MachineListFaults& faults) {
  return nlohmann::json{{"lag_ms", InMilliseconds(faults.lag)}, {"unavailable", faults.unavailable}}
      .dump();
}

void LaggingMachineList::SetMachines(std::vector<machines::Machine> machines, base::TimePoint now) {
  const std::uint64_t version = Actual().version + 1;
  changes_.push_back({now, {version, std::move(machines)}});
  if (changes_.size() > kChangeLimit) {
    changes_.pop_front();
  }
}

const machines::MachineList& LaggingMachineList::Shown(base::TimePoint now) {
  while (changes_.size() > 1 && changes_[1].at + faults_.lag <= now) {
    changes_.pop_front();
  }
  return changes_.front().list;
}

}  // namespace gaugevalve::standins
