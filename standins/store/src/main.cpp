// standin-store: stands in for the platform's key-value service in tests and on one machine. It
// speaks the part of the etcd v3 JSON gateway that gaugevalve uses and keeps everything in memory.
// See docs/operators/store.md.

#include <absl/flags/flag.h>
#include <prometheus/registry.h>

#include <cstdlib>
#include <memory>
#include <string>

#include "gaugevalve/base/clock.h"
#include "gaugevalve/base/finding.h"
#include "gaugevalve/standins/address_flags.h"
#include "gaugevalve/standins/command_line.h"
#include "gaugevalve/standins/program_loop.h"
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

int Serve() {
  const telemetry::LoggingSession logging(telemetry::Level::kInfo);
  const Addresses addresses = ReadAddressFlags();
  ProgramLoop loop;
  const base::SystemClock clock;
  StoreServer server(loop.Get(), addresses.listen, clock);
  telemetry::AdminServer admin(loop.Get(), addresses.admin,
                               std::make_shared<prometheus::Registry>());
  AddStorePages(admin, server);
  telemetry::Event(telemetry::Level::kInfo, "standin_store_started")
      .Field("listen", server.BoundAddress())
      .Field("admin", admin.BoundAddress());
  loop.Run();
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace gaugevalve::standins

int main(int argc, char** argv) {
  return gaugevalve::standins::RunProgram(
      argc, argv,
      "The platform's store for tests: the etcd v3 JSON gateway, in memory, with faults set at\n"
      "run time.\n"
      "Exit status: 0 ended by SIGTERM or SIGINT, 1 it could not start or an unknown flag,\n"
      "2 findings in the flags.",
      gaugevalve::standins::Serve);
}
