// The HTTP pages of the stand-in machine list.
#pragma once

#include "gaugevalve/base/clock.h"
#include "gaugevalve/telemetry/admin_server.h"
#include "lagging_machine_list.h"

namespace gaugevalve::standins {

// Adds to `server`:
//   GET       /machines          the list as the platform shows it, with its lag
//   GET, POST /admin/machines    the list as it is; a POST replaces its machines
//   GET, POST /admin/faults      MachineListFaults
// `list` and `clock` must outlive the server.
void AddMachineListPages(telemetry::AdminServer& server, LaggingMachineList& list,
                         const base::Clock& clock);

}  // namespace gaugevalve::standins
