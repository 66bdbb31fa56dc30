// standin-machine-list: stands in for the platform's list of live and leaving machines, in tests
// and on one machine. The list is set by POST /admin/machines and shown by GET /machines, with a
// lag that can be changed at run time.

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
#include "machine_list_pages.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:0",
          "IP:port of /machines and /admin/{machines,faults}; port 0: any");

namespace gaugevalve::standins {
namespace {

constexpr int kExitUsage = 2;

base::SocketAddress ReadListenFlag() {
  base::Findings findings;
  const base::SocketAddress address =
      ReadAddress("--listen", absl::GetFlag(FLAGS_listen), findings);
  if (!findings.empty()) {
    throw base::FindingsError(findings);
  }
  return address;
}

void Serve() {
  const base::SocketAddress address = ReadListenFlag();
  const tasks::LoopPointer loop = tasks::MakeLoop();
  const auto stop = [&loop] { event_base_loopbreak(loop.get()); };
  const auto on_terminate = tasks::Watch::Signal(loop.get(), SIGTERM, stop);
  const auto on_interrupt = tasks::Watch::Signal(loop.get(), SIGINT, stop);
  const base::SystemClock clock;
  LaggingMachineList list;
  telemetry::AdminServer server(loop.get(), address, std::make_shared<prometheus::Registry>());
  AddMachineListPages(server, list, clock);
  telemetry::Event(telemetry::Level::kInfo, "standin_machine_list_started")
      .Field("listen", server.BoundAddress());
  event_base_dispatch(loop.get());
}

}  // namespace
}  // namespace gaugevalve::standins

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "The platform's machine list for tests, with a lag set at run time.\n"
      "Exit status: 0 ended by SIGTERM or SIGINT, 1 it could not start, 2 a bad flag.");
  absl::ParseCommandLine(argc, argv);
  const gaugevalve::telemetry::LoggingSession logging(gaugevalve::telemetry::Level::kInfo);
  try {
    gaugevalve::standins::Serve();
  } catch (const gaugevalve::base::FindingsError& error) {
    std::cerr << gaugevalve::base::FormatFindings(error.findings());
    return gaugevalve::standins::kExitUsage;
  } catch (const std::exception& error) {
    std::cerr << "standin-machine-list: " << error.what() << '\n';
    return EXIT_FAILURE;
  }
  return EXIT_SUCCESS;
}
