#include "gaugevalve/standins/json_page.h"

#include <utility>

#include "gaugevalve/base/finding.h"
#include "gaugevalve/telemetry/event.h"

namespace gaugevalve::standins {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;

}  // namespace

void AddJsonPage(telemetry::AdminServer& server, const std::string& path, JsonPageRead read,
                 JsonPageChange change) {
  server.Handle(path,
                [read = std::move(read), change = std::move(change)](
                    const telemetry::AdminRequest& request) -> telemetry::AdminResponse {
                  if (request.method != "GET") {
                    try {
                      change(request);
                    } catch (const base::FindingsError& error) {
                      return {kBadRequest, "text/plain", base::FormatFindings(error.findings())};
                    }
                    telemetry::Event(telemetry::Level::kInfo, "admin_settings_changed")
                        .Field("path", request.path)
                        .Field("settings", read(request));
                  }
                  return {kOk, "application/json", read(request) + "\n"};
                });
}

}  // namespace gaugevalve::standins
