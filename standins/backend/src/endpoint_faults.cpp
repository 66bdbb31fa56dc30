#include "endpoint_faults.h"

#include <nlohmann/json.hpp>
#include <vector>

#include "gaugevalve/standins/json_fields.h"

namespace gaugevalve::standins {
namespace {

// In the order of ReportFault.
const std::vector<std::string>& ReportFaultNames() {
  static const std::vector<std::string> names = {"none", "lag", "freeze", "lie"};
  return names;
}

const std::string& NameOf(ReportFault fault) {
  return ReportFaultNames()[static_cast<std::size_t>(fault)];
}

void ReadReportFault(JsonFields& fields, const std::string& name, ReportFault& value) {
  auto index = static_cast<std::size_t>(value);
  fields.ReadChoice(name, ReportFaultNames(), index);
  value = static_cast<ReportFault>(index);
}

}  // namespace

std::string FaultsToJson(const EndpointFaults& faults) {
  const nlohmann::json document = {{"answer_delay_ms", InMilliseconds(faults.answer_delay)},
                                   {"cut_fraction", faults.cut_fraction},
                                   {"refuse_connections", faults.refuse_connections},
                                   {"hang", faults.hang},
                                   {"slowdown_percent", faults.slowdown_percent},
                                   {"ignore_datagrams", faults.ignore_datagrams},
                                   {"load_report", NameOf(faults.load_report)},
                                   {"health_report", NameOf(faults.health_report)},
                                   {"report_lag_ms", InMilliseconds(faults.report_lag)}};
  return document.dump();
}

EndpointFaults FaultsFromJson(const EndpointFaults& current, std::string_view text) {
  EndpointFaults faults = current;
  JsonFields fields("faults", text);
  fields.ReadMilliseconds("answer_delay_ms", faults.answer_delay);
  fields.ReadFraction("cut_fraction", faults.cut_fraction);
  fields.ReadFlag("refuse_connections", faults.refuse_connections);
  fields.ReadFlag("hang", faults.hang);
  fields.ReadCount("slowdown_percent", faults.slowdown_percent);
  fields.ReadFlag("ignore_datagrams", faults.ignore_datagrams);
  ReadReportFault(fields, "load_report", faults.load_report);
  ReadReportFault(fields, "health_report", faults.health_report);
  fields.ReadMilliseconds("report_lag_ms", faults.report_lag);
  fields.Finish();
  return faults;
}

}  // namespace gaugevalve::standins
