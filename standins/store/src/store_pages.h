// The stand-in store's admin port: faults and counters.
#pragma once

#include "gaugevalve/telemetry/admin_server.h"
#include "store_server.h"

namespace gaugevalve::standins {

// Adds to `admin`, which must not outlive `server`:
//   GET       /admin/counters        requests per kind, busiest second
//   GET, POST /admin/faults          FaultSettings; a POST replaces the fields it names
//   GET       /admin/leases          {"leases": ["id", ...], "revision": "..."}
//   POST      /admin/leases/expire   ends all leases now and answers as /admin/leases
//   POST      /admin/compact         forgets the history up to now and answers as /admin/leases
void AddStorePages(telemetry::AdminServer& admin, StoreServer& server);

}  // namespace gaugevalve::standins
