#include "backend_pages.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "gaugevalve/standins/json_page.h"

namespace gaugevalve::standins {

void AddBackendPages(telemetry::AdminServer& server, EndpointFaults& faults,
                     std::function<nlohmann::json()> ledger) {
  constexpr int kOk = 200;
  server.Handle("/ledger", [ledger = std::move(ledger)](const telemetry::AdminRequest&) {
    return telemetry::AdminResponse{kOk, "application/json", ledger().dump() + "\n"};
  });
  AddJsonPage(
      server, "/admin/faults",
      [&faults](const telemetry::AdminRequest&) { return FaultsToJson(faults); },
      [&faults](const telemetry::AdminRequest& request) {
        faults = FaultsFromJson(faults, request.body);
      });
}

}  // namespace gaugevalve::standins
