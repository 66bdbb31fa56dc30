// standin-machine-list: stands in for the platform's list of live and leaving machines, in tests
// and on one machine. The list is set by POST /admin/machines and shown by GET /machines, with a
// lag that can be changed at run time.

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
#include "machine_list_pages.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:0",
          "IP:port of /machines and /admin/{machines,faults}; port 0: any");

namespace gaugevalve::standins {
namespace {

base::SocketAddress ReadListenFlag() {
  base::Findings findings;
  const base::SocketAddress address =
      ReadAddress("--listen", absl::GetFlag(FLAGS_listen), findings);
  if (!findings.empty()) {
    throw base::FindingsError(findings);
  }
  return address;
}

int Serve() {
  const telemetry::LoggingSession logging(telemetry::Level::kInfo);
  const base::SocketAddress address = ReadListenFlag();
  ProgramLoop loop;
  const base::SystemClock clock;
  LaggingMachineList list;
  telemetry::AdminServer server(loop.Get(), address, std::make_shared<prometheus::Registry>());
  AddMachineListPages(server, list, clock);
  telemetry::Event(telemetry::Level::kInfo, "standin_machine_list_started")
      .Field("listen", server.BoundAddress());
  loop.Run();
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace gaugevalve::standins

int main(int argc, char** argv) {
  return gaugevalve::standins::RunProgram(
      argc, argv,
      "The platform's list of machines for tests, with a lag set at run time.\n"
      "Exit status: 0 ended by SIGTERM or SIGINT, 1 it could not start or an unknown flag,\n"
      "2 findings in the flags.",
      gaugevalve::standins::Serve);
}
