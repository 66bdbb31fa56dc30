// standin-store: stands in for the platform's key-value service in tests and on one machine. It
// speaks the part of the etcd v3 JSON gateway that gaugevalve uses and keeps everything in memory.
// See docs/operators/store.md.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <event2/event.h>
#include <prometheus/registry.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>

#include "gaugevalve/base/clock.h"
#include "gaugevalve/base/finding.h"
#include "gaugevalve/standins/address_flags.h"
#include "gaugevalve/tasks/task.h"
#include "gaugevalve/tasks/watch.h"
#include "gaugevalve/telemetry/admin_server.h"
#include "gaugevalve/telemetry/event.h"
#include "gaugevalve/telemetry/logging.h"
#include "store_pages.h"
#include "store_server.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "IP:port of the store's gateway; port 0: any");
ABSL_FLAG(std::string, admin, "127.0.0.1:0",
          "IP:port of /admin/{faults,counters,leases,leases/expire,compact}; port 0: any");

namespace gaugevalve::standins {
namespace {

constexpr int kExitUsage = 2;

struct Addresses {
  base::SocketAddress listen;
  base::SocketAddress admin;
};

Addresses ReadAddressFlags() {
  base::Findings findings;
  Addresses addresses;
  addresses.listen = ReadAddress("--listen", absl::GetFlag(FLAGS_listen), findings);
  addresses.admin = ReadAddress("--admin", absl::GetFlag(FLAGS_admin), findings);
  if (!findings.empty()) {
    throw base::FindingsError(findings);
  }
  return addresses;
}

void Serve() {
  const Addresses addresses = ReadAddressFlags();
  const tasks::LoopPointer loop = tasks::MakeLoop();
  const auto stop = [&loop] { event_base_loopbreak(loop.get()); };
  const auto on_terminate = tasks::Watch::Signal(loop.get(), SIGTERM, stop);
  const auto on_interrupt = tasks::Watch::Signal(loop.get(), SIGINT, stop);
  const base::SystemClock clock;
  StoreServer server(loop.get(), addresses.listen, clock);
  telemetry::AdminServer admin(loop.get(), addresses.admin,
                               std::make_shared<prometheus::Registry>());
  AddStorePages(admin, server);
  telemetry::Event(telemetry::Level::kInfo, "standin_store_started")
      .Field("listen", server.BoundAddress())
      .Field("admin", admin.BoundAddress());
  event_base_dispatch(loop.get());
}

}  // namespace
}  // namespace gaugevalve::standins

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "The platform's store for tests: the etcd v3 JSON gateway, in memory, with faults set at "
      "run\n"
      "time. Exit status: 0 ended by SIGTERM or SIGINT, 1 it could not start, 2 a bad flag.");
  absl::ParseCommandLine(argc, argv);
  const gaugevalve::telemetry::LoggingSession logging(gaugevalve::telemetry::Level::kInfo);
  try {
    gaugevalve::standins::Serve();
  } catch (const gaugevalve::base::FindingsError& error) {
    std::cerr << gaugevalve::base::FormatFindings(error.findings());
    return gaugevalve::standins::kExitUsage;
  } catch (const std::exception& error) {
    std::cerr << "standin-store: " << error.what() << '\n';
    return EXIT_FAILURE;
  }
  return EXIT_SUCCESS;
}
