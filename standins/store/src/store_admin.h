// The stand-in store's admin port: faults and counters.
#pragma once

#include "gaugevalve/telemetry/admin_server.h"
#include "store_server.h"

namespace gaugevalve::standin {

// Adds to `admin`, which must not outlive `server`:
//   GET  /admin/counters        requests per kind, peak per second
//   GET  /admin/faults          the faults shown now
//   POST /admin/faults          replaces the faults named in a JSON object, see ParseFaults()
//   GET  /admin/leases          {"leases": ["id", ...], "revision": "..."}
//   POST /admin/leases/expire   {"ID": "..."}: ends a lease now; without ID, all of them
//   POST /admin/compact         {"revision": "..."}: forgets history; without revision, up to now
// Faulty input is answered 400 with the findings.
void AddStoreAdminHandlers(telemetry::AdminServer& admin, StoreServer& server);

}  // namespace gaugevalve::standin
