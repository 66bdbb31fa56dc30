// The admin port's pages of an endpoint: its ledger, and its faults.
#pragma once

#include <functional>
#include <nlohmann/json_fwd.hpp>

#include "endpoint_faults.h"
#include "gaugevalve/telemetry/admin_server.h"

namespace gaugevalve::standins {

// Adds to `server`:
//   GET  /ledger         what `ledger` returns
//   GET  /admin/faults   the faults in force
//   POST /admin/faults   puts the given fields into `faults`; 400 with all findings, and nothing
//                        changed, when one of them is wrong
// `faults` must outlive the server.
void AddBackendPages(telemetry::AdminServer& server, EndpointFaults& faults,
                     std::function<nlohmann::json()> ledger);

}  // namespace gaugevalve::standins
