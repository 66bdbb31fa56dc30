// lease-example: shows how a program embeds gaugevalve's lease. It tries for a lease in the store
// and prints each change of what it may believe, with the fencing token. Start two and stop one.
//
//   standin-store --listen=127.0.0.1:2379 &
//   lease-example --store=127.0.0.1:2379 --holder=first
#include <event2/event.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>
#include <stdexcept>
#include <string>

#include "absl/flags/flag.h"
#include "gaugevalve/base/clock.h"
#include "gaugevalve/command_line/parse.h"
#include "gaugevalve/lease/lease_task.h"
#include "gaugevalve/store/store_client.h"
#include "gaugevalve/tasks/task.h"
#include "gaugevalve/tasks/watch.h"
#include "gaugevalve/telemetry/event.h"
#include "gaugevalve/telemetry/logging.h"

ABSL_FLAG(std::string, store, "127.0.0.1:2379", "address of the store's HTTP gateway");
ABSL_FLAG(std::string, key, "example/lease", "the lease's key in the store");
ABSL_FLAG(std::string, holder, "example", "this program's name, written as the key's value");

namespace {

namespace base = gaugevalve::base;
namespace lease = gaugevalve::lease;
namespace store = gaugevalve::store;
namespace tasks = gaugevalve::tasks;
namespace telemetry = gaugevalve::telemetry;

const char* NameOf(lease::LeaseStatus status) {
  switch (status) {
    case lease::LeaseStatus::kNotHeld:
      return "not_held";
    case lease::LeaseStatus::kHeld:
      return "held";
    case lease::LeaseStatus::kLapsed:
      return "lapsed";
  }
  return "not_held";
}

void ReportChange(const lease::LeaseView& view) {
  telemetry::Event(telemetry::Level::kInfo, "lease_changed")
      .Field("key", absl::GetFlag(FLAGS_key))
      .Field("status", NameOf(view.status))
      .Field("token", view.token)
      .Field("renewal_fails", view.renewal_fails);
}

store::StoreClientSettings ClientSettings() {
  const std::string text = absl::GetFlag(FLAGS_store);
  const auto address = base::SocketAddress::Parse(text);
  if (!address) {
    throw std::invalid_argument("--store: not an address with a port: " + text);
  }
  store::StoreClientSettings settings;
  settings.endpoints = {*address};
  return settings;
}

void Run() {
  const telemetry::LoggingSession logging(telemetry::Level::kInfo);
  const tasks::LoopPointer loop = tasks::MakeLoop();
  const auto on_interrupt =
      tasks::Watch::Signal(loop.get(), SIGINT, [&loop] { event_base_loopbreak(loop.get()); });
  const base::SystemClock clock;
  std::random_device seeds;
  store::StoreClient client(loop.get(), ClientSettings(), clock, seeds());
  lease::LeaseSettings settings;
  settings.key = absl::GetFlag(FLAGS_key);
  settings.holder = absl::GetFlag(FLAGS_holder);
  lease::LeaseTask task(loop.get(), client, clock, settings, seeds(), &ReportChange);
  task.Campaign();
  event_base_dispatch(loop.get());
}

}  // namespace

int main(int argc, char** argv) {
  gaugevalve::command_line::Parse(argc, argv,
                                  "Takes a lease in the store and prints its fencing tokens.");
  try {
    Run();
  } catch (const std::exception& error) {
    std::cerr << "lease-example: " << error.what() << '\n';
    return EXIT_FAILURE;
  }
  return EXIT_SUCCESS;
}
