// standin-fabric: the platform's network for tests and trials. See docs/operators/first-run.md.

#include <absl/flags/flag.h>

#include <csignal>
#include <cstdlib>
#include <memory>

#include "fabric.h"
#include "fabric_pages.h"
#include "gaugevalve/base/finding.h"
#include "gaugevalve/standins/command_line.h"
#include "gaugevalve/tasks/task.h"
#include "gaugevalve/telemetry/logging.h"

ABSL_FLAG(std::string, virtual_addresses, "",
          "services and where callers reach them: name=IP:port,name=IP:port");
ABSL_FLAG(std::string, egress, "127.0.0.1:0", "IP:port that takes the agents' answers");
ABSL_FLAG(std::string, balancers, "", "balancers to spray over: IP:port,IP:port");
ABSL_FLAG(std::string, admin, "127.0.0.1:0",
          "IP:port of /healthz, /metrics, /admin/balancers and /admin/faults/{inbound,outbound}");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the random choices");

namespace gaugevalve::standins {
namespace {

FabricSettings ReadSettings(base::SocketAddress& admin) {
  base::Findings findings;
  FabricSettings settings;
  settings.virtual_addresses =
      ReadNamedAddresses("--virtual_addresses", absl::GetFlag(FLAGS_virtual_addresses), findings);
  settings.egress = ReadAddress("--egress", absl::GetFlag(FLAGS_egress), findings);
  settings.balancers = ReadAddresses("--balancers", absl::GetFlag(FLAGS_balancers), findings);
  settings.seed = absl::GetFlag(FLAGS_seed);
  admin = ReadAddress("--admin", absl::GetFlag(FLAGS_admin), findings);
  if (!findings.empty()) {
    throw base::FindingsError(findings);
  }
  return settings;
}

int Serve() {
  const telemetry::LoggingSession logging(telemetry::Level::kInfo);
  base::SocketAddress admin;
  const FabricSettings settings = ReadSettings(admin);
  const tasks::LoopPointer loop = tasks::MakeLoop();
  const auto stop = [&loop] { event_base_loopbreak(loop.get()); };
  const auto on_terminate = tasks::Watch::Signal(loop.get(), SIGTERM, stop);
  const auto on_interrupt = tasks::Watch::Signal(loop.get(), SIGINT, stop);

  const auto registry = std::make_shared<prometheus::Registry>();
  FabricMetrics metrics(*registry);
  Fabric fabric(loop.get(), settings, metrics);
  telemetry::AdminServer server(loop.get(), admin, registry);
  AddFabricPages(server, fabric);
  for (const NamedAddress& virtual_address : fabric.VirtualAddresses()) {
    telemetry::Event(telemetry::Level::kInfo, "virtual_address_open")
        .Field("service", virtual_address.name)
        .Field("address", virtual_address.address);
  }
  telemetry::Event(telemetry::Level::kInfo, "fabric_started")
      .Field("egress", fabric.Egress())
      .Field("admin", server.BoundAddress())
      .Field("seed", settings.seed);
  event_base_dispatch(loop.get());
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace gaugevalve::standins

int main(int argc, char** argv) {
  return gaugevalve::standins::RunProgram(
      argc, argv,
      "The platform's network for tests: sprays each datagram over all balancers behind a PROXY\n"
      "protocol v2 header and carries the agents' answers back, with faults set at run time.\n"
      "Exit status: 0 ended by SIGTERM or SIGINT, 1 it could not start, 2 a bad flag.",
      gaugevalve::standins::Serve);
}
