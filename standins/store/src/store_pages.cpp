#include "store_pages.h"

#include <nlohmann/json.hpp>

#include "gaugevalve/base/finding.h"
#include "gaugevalve/standins/json_page.h"

namespace gaugevalve::standins {
namespace {

using telemetry::AdminRequest;

std::string LeasesToJson(const StoreServer& server) {
  nlohmann::json leases = nlohmann::json::array();
  for (const store::LeaseId lease : server.Store().Leases()) {
    leases.push_back(std::to_string(lease.value()));
  }
  return nlohmann::json{{"leases", leases},
                        {"revision", std::to_string(server.Store().CurrentRevision().value())}}
      .dump();
}

void ExpireAll(StoreServer& server) {
  for (const store::LeaseId lease : server.Store().Leases()) {
    server.ExpireLease(lease);
  }
}

void CompactUpToNow(StoreServer& server) {
  try {
    server.Compact(server.Store().CurrentRevision());
  } catch (const StoreError& error) {
    throw base::FindingsError({{{"compact", 0, 0, ""}, error.what()}});
  }
}

}  // namespace

void AddStorePages(telemetry::AdminServer& admin, StoreServer& server) {
  const auto leases = [&server](const AdminRequest&) { return LeasesToJson(server); };
  admin.Handle("/admin/counters", [&server](const AdminRequest&) {
    return telemetry::AdminResponse{200, "application/json", server.Counters().ToJson() + "\n"};
  });
  AddJsonPage(
      admin, "/admin/faults",
      [&server](const AdminRequest&) { return FaultsToJson(server.Faults()); },
      [&server](const AdminRequest& request) {
        server.SetFaults(FaultsFromJson(server.Faults(), request.body));
      });
  AddJsonPage(admin, "/admin/leases", leases, [](const AdminRequest&) {
    throw base::FindingsError({{{"leases", 0, 0, ""}, "can't be changed here"}});
  });
  AddJsonPage(admin, "/admin/leases/expire", leases,
              [&server](const AdminRequest&) { ExpireAll(server); });
  AddJsonPage(admin, "/admin/compact", leases,
              [&server](const AdminRequest&) { CompactUpToNow(server); });
}

}  // namespace gaugevalve::standins
