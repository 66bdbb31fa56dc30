// standin-backend: an endpoint of a service for tests and trials. See docs/operators/first-run.md.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <prometheus/registry.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>

#include "backend_pages.h"
#include "datagram_echo.h"
#include "gaugevalve/base/finding.h"
#include "gaugevalve/standins/address_flags.h"
#include "gaugevalve/tasks/task.h"
#include "gaugevalve/telemetry/logging.h"

ABSL_FLAG(std::string, name, "endpoint-1", "name of this endpoint, put into every answer");
ABSL_FLAG(std::string, service, "service", "service this endpoint belongs to");
ABSL_FLAG(std::string, datagram, "127.0.0.1:0", "IP:port of the UDP echo; port 0: any free one");
ABSL_FLAG(std::string, admin, "127.0.0.1:0",
          "IP:port of /healthz, /ledger and /admin/faults; port 0: any free one");

namespace gaugevalve::standins {
namespace {

constexpr int kExitUsage = 2;

void Serve() {
  base::Findings findings;
  const auto datagram = ReadAddress("--datagram", absl::GetFlag(FLAGS_datagram), findings);
  const auto admin = ReadAddress("--admin", absl::GetFlag(FLAGS_admin), findings);
  if (!findings.empty()) {
    throw base::FindingsError(findings);
  }
  const EndpointIdentity identity{absl::GetFlag(FLAGS_name), absl::GetFlag(FLAGS_service)};

  const tasks::LoopPointer loop = tasks::MakeLoop();
  const auto stop = [&loop] { event_base_loopbreak(loop.get()); };
  const auto on_terminate = tasks::Watch::Signal(loop.get(), SIGTERM, stop);
  const auto on_interrupt = tasks::Watch::Signal(loop.get(), SIGINT, stop);
  EndpointFaults faults;
  FlowLedger flows(identity.service);
  const DatagramEcho echo(loop.get(), datagram, identity, faults, flows);
  telemetry::AdminServer server(loop.get(), admin, std::make_shared<prometheus::Registry>());
  AddBackendPages(server, faults, [&] {
    return nlohmann::json{
        {"endpoint", identity.name}, {"service", identity.service}, {"datagram", flows.ToJson()}};
  });
  telemetry::Event(telemetry::Level::kInfo, "endpoint_started")
      .Field("name", identity.name)
      .Field("service", identity.service)
      .Field("datagram", echo.BoundAddress())
      .Field("admin", server.BoundAddress());
  event_base_dispatch(loop.get());
}

}  // namespace
}  // namespace gaugevalve::standins

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "An endpoint for tests: echoes datagrams with its name and keeps a ledger of what it ran.\n"
      "Exit status: 0 ended by SIGTERM or SIGINT, 1 it could not start, 2 a bad flag.");
  absl::ParseCommandLine(argc, argv);
  const gaugevalve::telemetry::LoggingSession logging(gaugevalve::telemetry::Level::kInfo);
  try {
    gaugevalve::standins::Serve();
  } catch (const gaugevalve::base::FindingsError& error) {
    std::cerr << gaugevalve::base::FormatFindings(error.findings());
    return gaugevalve::standins::kExitUsage;
  } catch (const std::exception& error) {
    std::cerr << "standin-backend: " << error.what() << "\n";
    return EXIT_FAILURE;
  }
  return EXIT_SUCCESS;
}
