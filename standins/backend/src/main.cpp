// standin-backend: an endpoint of a service for tests and trials. See docs/operators/first-run.md.

#include <absl/flags/flag.h>
#include <absl/time/time.h>
#include <prometheus/registry.h>

#include <cstdlib>
#include <memory>
#include <nlohmann/json.hpp>

#include "backend_pages.h"
#include "datagram_echo.h"
#include "gaugevalve/base/finding.h"
#include "gaugevalve/standins/address_flags.h"
#include "gaugevalve/standins/command_line.h"
#include "gaugevalve/standins/program_loop.h"
#include "gaugevalve/telemetry/logging.h"
#include "http_endpoint.h"

ABSL_FLAG(std::string, name, "endpoint-1", "name of this endpoint, put into every answer");
ABSL_FLAG(std::string, service, "service", "service this endpoint belongs to");
ABSL_FLAG(std::string, datagram, "127.0.0.1:0", "IP:port of the UDP echo; port 0: any free one");
ABSL_FLAG(std::string, http, "127.0.0.1:0",
          "IP:port of /board, /reservations, /drawings/N, /load and /health; port 0: any free one");
ABSL_FLAG(std::string, admin, "127.0.0.1:0",
          "IP:port of /healthz, /ledger and /admin/faults; port 0: any free one");
ABSL_FLAG(std::uint32_t, slots, 7, "requests that run at once");
ABSL_FLAG(std::uint32_t, queue_limit, 7, "requests that wait for a slot; more are shed");
ABSL_FLAG(std::uint32_t, max_connections, 2000, "HTTP connections; more are closed as they come");
ABSL_FLAG(absl::Duration, service_time, absl::Milliseconds(20), "time a request runs when warm");
ABSL_FLAG(absl::Duration, cold_start, absl::ZeroDuration(),
          "time from the start until the endpoint is warm");
ABSL_FLAG(std::uint32_t, cold_slowdown_percent, 500,
          "service time at the start, in percent of that when warm");
ABSL_FLAG(absl::Duration, board_interval, absl::Milliseconds(200), "time between board events");
ABSL_FLAG(std::uint32_t, drawing_bytes, 2 << 20, "size of a drawing, bytes");

namespace gaugevalve::standins {
namespace {

base::Duration ReadDuration(const absl::Duration& value) {
  return base::Duration(absl::ToInt64Microseconds(value));
}

HttpEndpointSettings ReadHttpSettings(const base::SocketAddress& address) {
  HttpEndpointSettings settings;
  settings.address = address;
  settings.max_connections = absl::GetFlag(FLAGS_max_connections);
  settings.board_interval = ReadDuration(absl::GetFlag(FLAGS_board_interval));
  settings.work.slots = absl::GetFlag(FLAGS_slots);
  settings.work.queue_limit = absl::GetFlag(FLAGS_queue_limit);
  settings.work.drawing_bytes = absl::GetFlag(FLAGS_drawing_bytes);
  ServiceTimeSettings& service_time = settings.work.service_time;
  service_time.when_warm = ReadDuration(absl::GetFlag(FLAGS_service_time));
  service_time.cold_start = ReadDuration(absl::GetFlag(FLAGS_cold_start));
  service_time.cold_slowdown_percent = absl::GetFlag(FLAGS_cold_slowdown_percent);
  return settings;
}

int Serve() {
  const telemetry::LoggingSession logging(telemetry::Level::kInfo);
  base::Findings findings;
  const auto datagram = ReadAddress("--datagram", absl::GetFlag(FLAGS_datagram), findings);
  const auto http = ReadAddress("--http", absl::GetFlag(FLAGS_http), findings);
  const auto admin = ReadAddress("--admin", absl::GetFlag(FLAGS_admin), findings);
  if (!findings.empty()) {
    throw base::FindingsError(findings);
  }
  const EndpointIdentity identity{absl::GetFlag(FLAGS_name), absl::GetFlag(FLAGS_service)};

  ProgramLoop loop;
  EndpointFaults faults;
  FlowLedger flows(identity.service);
  const DatagramEcho echo(loop.Get(), datagram, identity, faults, flows);
  RequestLedger requests;
  const HttpEndpoint http_endpoint(loop.Get(), ReadHttpSettings(http), identity, faults, requests);
  telemetry::AdminServer server(loop.Get(), admin, std::make_shared<prometheus::Registry>());
  AddBackendPages(server, faults, [&] {
    return nlohmann::json{{"endpoint", identity.name},
                          {"service", identity.service},
                          {"datagram", flows.ToJson()},
                          {"http", requests.ToJson()}};
  });
  telemetry::Event(telemetry::Level::kInfo, "endpoint_started")
      .Field("name", identity.name)
      .Field("service", identity.service)
      .Field("datagram", echo.BoundAddress())
      .Field("http", http_endpoint.BoundAddress())
      .Field("admin", server.BoundAddress());
  loop.Run();
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace gaugevalve::standins

int main(int argc, char** argv) {
  return gaugevalve::standins::RunProgram(
      argc, argv,
      "An endpoint for tests: answers datagrams and HTTP/1.1 and keeps a ledger of what it ran.\n"
      "Exit status: 0 ended by SIGTERM or SIGINT, 1 it could not start or an unknown flag,\n"
      "2 findings in the flags.",
      gaugevalve::standins::Serve);
}
