#include "machine_list_pages.h"

#include <utility>

#include "gaugevalve/base/finding.h"
#include "gaugevalve/standins/json_page.h"

namespace gaugevalve::standins {
namespace {

using telemetry::AdminRequest;
using telemetry::AdminResponse;

constexpr int kHttpOk = 200;
constexpr int kHttpUnavailable = 503;

AdminResponse ShowMachines(LaggingMachineList& list, const base::Clock& clock) {
  if (list.Faults().unavailable) {
    return {kHttpUnavailable, "text/plain", "the machine list is unavailable\n"};
  }
  return {kHttpOk, "application/json", machines::FormatMachineList(list.Shown(clock.Now())) + "\n"};
}

void ReplaceMachines(LaggingMachineList& list, const std::string& text, base::TimePoint now) {
  machines::ParsedMachineList parsed = machines::ParseMachineList(text);
  if (!parsed.findings.empty()) {
    throw base::FindingsError(std::move(parsed.findings));
  }
  list.SetMachines(std::move(parsed.list.machines), now);
}

}  // namespace

void AddMachineListPages(telemetry::AdminServer& server, LaggingMachineList& list,
                         const base::Clock& clock) {
  server.Handle("/machines",
                [&list, &clock](const AdminRequest&) { return ShowMachines(list, clock); });
  AddJsonPage(
      server, "/admin/machines",
      [&list](const AdminRequest&) { return machines::FormatMachineList(list.Actual()); },
      [&list, &clock](const AdminRequest& request) {
        ReplaceMachines(list, request.body, clock.Now());
      });
  AddJsonPage(
      server, "/admin/faults",
      [&list](const AdminRequest&) { return MachineListFaultsToJson(list.Faults()); },
      [&list](const AdminRequest& request) {
        list.SetFaults(MachineListFaultsFromJson(list.Faults(), request.body));
      });
}

}  // namespace gaugevalve::standins
