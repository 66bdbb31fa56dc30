#include "backend_pages.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "gaugevalve/base/finding.h"
#include "gaugevalve/telemetry/event.h"

namespace gaugevalve::standins {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr char kJsonType[] = "application/json";

telemetry::AdminResponse ChangeFaults(EndpointFaults& faults,
                                      const telemetry::AdminRequest& request) {
  if (request.method == "GET") {
    return {kOk, kJsonType, FaultsToJson(faults)};
  }
  try {
    faults = FaultsFromJson(faults, request.body);
  } catch (const base::FindingsError& error) {
    return {kBadRequest, "text/plain", base::FormatFindings(error.findings())};
  }
  telemetry::Event(telemetry::Level::kInfo, "endpoint_faults_changed")
      .Field("faults", FaultsToJson(faults));
  return {kOk, kJsonType, FaultsToJson(faults)};
}

}  // namespace

void AddBackendPages(telemetry::AdminServer& server, EndpointFaults& faults,
                     std::function<nlohmann::json()> ledger) {
  server.Handle("/ledger", [ledger = std::move(ledger)](const telemetry::AdminRequest&) {
    return telemetry::AdminResponse{kOk, kJsonType, ledger().dump() + "\n"};
  });
  server.Handle("/admin/faults", [&faults](const telemetry::AdminRequest& request) {
    return ChangeFaults(faults, request);
  });
}

}  // namespace gaugevalve::standins
