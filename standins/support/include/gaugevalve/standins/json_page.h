// An admin page that shows settings as JSON and takes changes to them.
#pragma once

#include <functional>
#include <string>

#include "gaugevalve/telemetry/admin_server.h"

namespace gaugevalve::standins {

// Shows the settings as JSON text.
using JsonPageRead = std::function<std::string(const telemetry::AdminRequest&)>;

// Takes a JSON text. Throws base::FindingsError, having changed nothing, when it is wrong.
using JsonPageChange = std::function<void(const telemetry::AdminRequest&)>;

// Serves GET and POST `path`. POST answers what GET would after the change, or 400 with all
// findings; each change that is taken is logged as `admin_settings_changed`.
void AddJsonPage(telemetry::AdminServer& server, const std::string& path, JsonPageRead read,
                 JsonPageChange change);

}  // namespace gaugevalve::standins
