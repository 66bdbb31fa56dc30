// standin-store: stands in for the platform's key-value service in tests and on one machine. It
// speaks the part of the etcd v3 JSON gateway that gaugevalve uses and keeps everything in memory.
#include <event2/event.h>
#include <prometheus/registry.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <stdexcept>
#include <string>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "gaugevalve/base/clock.h"
#include "gaugevalve/telemetry/admin_server.h"
#include "gaugevalve/telemetry/event.h"
#include "gaugevalve/telemetry/logging.h"
#include "store_admin.h"
#include "store_server.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "address of the store's gateway; port 0: any");
ABSL_FLAG(std::string, admin, "127.0.0.1:0", "address of the admin port; port 0: any");

namespace gaugevalve::standin {
namespace {

struct EventBaseDeleter {
  void operator()(event_base* base) const { event_base_free(base); }
};

struct EventDeleter {
  void operator()(event* signal) const { event_free(signal); }
};

using EventPointer = std::unique_ptr<event, EventDeleter>;

void OnStopSignal(evutil_socket_t /*signal*/, short /*events*/, void* base) {
  event_base_loopbreak(static_cast<event_base*>(base));
}

EventPointer StopOn(int signal, event_base* base) {
  EventPointer event(evsignal_new(base, signal, &OnStopSignal, base));
  event_add(event.get(), nullptr);
  return event;
}

base::SocketAddress ParseAddress(const std::string& flag, const std::string& text) {
  const auto address = base::SocketAddress::Parse(text);
  if (!address) {
    throw std::invalid_argument("--" + flag + ": not an address with a port: " + text);
  }
  return *address;
}

void Run() {
  const telemetry::LoggingSession logging(telemetry::Level::kInfo);
  const std::unique_ptr<event_base, EventBaseDeleter> loop(event_base_new());
  const base::SystemClock clock;
  StoreServer server(loop.get(), ParseAddress("listen", absl::GetFlag(FLAGS_listen)), clock);
  telemetry::AdminServer admin(loop.get(), ParseAddress("admin", absl::GetFlag(FLAGS_admin)),
                               std::make_shared<prometheus::Registry>());
  AddStoreAdminHandlers(admin, server);
  const EventPointer interrupt = StopOn(SIGINT, loop.get());
  const EventPointer terminate = StopOn(SIGTERM, loop.get());
  telemetry::Event(telemetry::Level::kInfo, "standin_store_started")
      .Field("listen", server.BoundAddress())
      .Field("admin", admin.BoundAddress());
  event_base_dispatch(loop.get());
}

}  // namespace
}  // namespace gaugevalve::standin

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Stand-in for the platform's store: etcd v3 JSON gateway, in memory, with faults.");
  absl::ParseCommandLine(argc, argv);
  try {
    gaugevalve::standin::Run();
  } catch (const std::exception& error) {
    std::cerr << "standin-store: " << error.what() << '\n';
    return EXIT_FAILURE;
  }
  return EXIT_SUCCESS;
}
