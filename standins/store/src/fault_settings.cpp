#include "fault_settings.h"

#include <nlohmann/json.hpp>
#include <vector>

#include "gaugevalve/standins/json_fields.h"

namespace gaugevalve::standins {
namespace {

// In the order of Outage.
const std::vector<std::string>& OutageNames() {
  static const std::vector<std::string> names{"none", "refuse", "hang", "unavailable"};
  return names;
}

}  // namespace

FaultSettings FaultsFromJson(const FaultSettings& current, std::string_view text) {
  FaultSettings faults = current;
  JsonFields fields("faults", text);
  auto outage = static_cast<std::size_t>(faults.outage);
  fields.ReadChoice("outage", OutageNames(), outage);
  faults.outage = static_cast<Outage>(outage);
  fields.ReadMilliseconds("delay_ms", faults.delay);
  fields.ReadCount("requests_per_second", faults.requests_per_second);
  fields.ReadCount("lost_answers", faults.lost_answers);
  fields.ReadFlag("stale_watches", faults.stale_watches);
  fields.Finish();
  return faults;
}

std::string FaultsToJson(const FaultSettings& faults) {
  return nlohmann::json{{"outage", OutageNames().at(static_cast<std::size_t>(faults.outage))},
                        {"delay_ms", InMilliseconds(faults.delay)},
                        {"requests_per_second", faults.requests_per_second},
                        {"lost_answers", faults.lost_answers},
                        {"stale_watches", faults.stale_watches}}
      .dump();
}

}  // namespace gaugevalve::standins
