// The admin port's pages of the fabric.
#pragma once

#include "fabric.h"
#include "gaugevalve/telemetry/admin_server.h"

namespace gaugevalve::standins {

// Adds to `server`, each for GET and POST (see AddJsonPage()):
//   /admin/faults/inbound    ImpairmentSettings on the way to the balancers
//   /admin/faults/outbound   ImpairmentSettings on the way to the callers
//   /admin/balancers         the list of balancers, and which of them are cut
// `fabric` must outlive the server.
void AddFabricPages(telemetry::AdminServer& server, Fabric& fabric);

}  // namespace gaugevalve::standins
