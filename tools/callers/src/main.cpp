// gaugevalve-callers: callers that repeat their reservations. See docs/MEASUREMENTS.md.

#include <absl/flags/flag.h>
#include <absl/time/time.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <nlohmann/json.hpp>

#include "callers_run.h"
#include "gaugevalve/base/finding.h"
#include "gaugevalve/standins/address_flags.h"
#include "gaugevalve/standins/command_line.h"
#include "gaugevalve/tasks/task.h"
#include "gaugevalve/tasks/watch.h"
#include "http1_caller.h"
#include "http3_caller.h"

ABSL_FLAG(std::string, protocol, "http3",
          "http3: to the service; http1: to its endpoints straight, without keys");
ABSL_FLAG(std::string, service, "service", "name of the service");
ABSL_FLAG(std::string, addresses, "", "where to connect to, in turn: IP:port,IP:port");
ABSL_FLAG(std::uint32_t, connections, 10, "connections");
ABSL_FLAG(double, requests_per_second, 50, "reservations that fall due, however many wait");
ABSL_FLAG(absl::Duration, warm_up, absl::ZeroDuration(), "at the start, not in the counts");
ABSL_FLAG(absl::Duration, duration, absl::Seconds(10), "after the warm-up");
ABSL_FLAG(absl::Duration, deadline, absl::Seconds(10), "after which an answer has no use any more");
ABSL_FLAG(bool, says_deadline, false, "tell the service, in grpc-timeout");
ABSL_FLAG(bool, keyed, true, "send an idempotency key");
ABSL_FLAG(bool, timed_keys, true, "keys are UUIDs of version 7, whose time the service can read");
ABSL_FLAG(std::uint32_t, attempts, 1, "attempts of a reservation, at most");
ABSL_FLAG(double, echo_share, 0,
          "share of answered reservations that are sent once more all the same, 0 to 1");
ABSL_FLAG(absl::Duration, patience, absl::Seconds(10),
          "without an answer, after which an attempt is given up");
ABSL_FLAG(absl::Duration, repeat_after, absl::Milliseconds(100),
          "from the end of an attempt to the next");
ABSL_FLAG(std::uint32_t, seed, 1, "seed; also part of each key, to tell runs apart; at most 32767");

namespace gaugevalve::callers {
namespace {

constexpr std::uint32_t kMaxSeed = 32'767;  // a key has 15 bits for it

base::Duration ToDuration(absl::Duration value) {
  return base::Duration(absl::ToInt64Microseconds(value));
}

CallersSettings ReadSettings(base::Findings& findings) {
  CallersSettings settings;
  settings.service = absl::GetFlag(FLAGS_service);
  settings.requests_per_second = absl::GetFlag(FLAGS_requests_per_second);
  settings.warm_up = ToDuration(absl::GetFlag(FLAGS_warm_up));
  settings.duration = ToDuration(absl::GetFlag(FLAGS_duration));
  settings.deadline = ToDuration(absl::GetFlag(FLAGS_deadline));
  settings.says_deadline = absl::GetFlag(FLAGS_says_deadline);
  settings.is_keyed = absl::GetFlag(FLAGS_keyed);
  settings.has_timed_keys = absl::GetFlag(FLAGS_timed_keys);
  settings.attempts = absl::GetFlag(FLAGS_attempts);
  settings.echo_share = absl::GetFlag(FLAGS_echo_share);
  settings.patience = ToDuration(absl::GetFlag(FLAGS_patience));
  settings.repeat_after = ToDuration(absl::GetFlag(FLAGS_repeat_after));
  settings.seed = absl::GetFlag(FLAGS_seed);
  if (settings.seed > kMaxSeed) {
    findings.push_back({{"--seed", 0, 0, ""}, "must be at most 32767"});
  }
  if (settings.requests_per_second <= 0) {
    findings.push_back({{"--requests_per_second", 0, 0, ""}, "must be above 0"});
  }
  return settings;
}

std::vector<std::unique_ptr<Caller>> MakeCallers(event_base* loop, const base::Clock& clock,
                                                 base::Findings& findings) {
  const auto addresses =
      standins::ReadAddresses("--addresses", absl::GetFlag(FLAGS_addresses), findings);
  const std::string protocol = absl::GetFlag(FLAGS_protocol);
  if (addresses.empty() && findings.empty()) {
    findings.push_back({{"--addresses", 0, 0, ""}, "names no address"});
  }
  if (protocol != "http3" && protocol != "http1") {
    findings.push_back({{"--protocol", 0, 0, ""}, "must be http3 or http1"});
  }
  std::vector<std::unique_ptr<Caller>> callers;
  if (!findings.empty()) {
    return callers;
  }
  constexpr char kTrustAnyServer[] = "";  // the deployments under load have trial certificates
  const quic::ClientCredentials credentials = quic::MakeClientCredentials(kTrustAnyServer);
  for (std::uint32_t index = 0; index < absl::GetFlag(FLAGS_connections); ++index) {
    const base::SocketAddress& address = addresses[index % addresses.size()];
    if (protocol == "http3") {
      callers.push_back(std::make_unique<Http3Caller>(loop, clock, absl::GetFlag(FLAGS_service),
                                                      address, credentials));
    } else {
      callers.push_back(std::make_unique<Http1Caller>(loop, address));
    }
  }
  if (callers.empty()) {
    findings.push_back({{"--connections", 0, 0, ""}, "must be above 0"});
  }
  return callers;
}

int Run() {
  base::Findings findings;
  const CallersSettings settings = ReadSettings(findings);
  const base::SystemClock clock;
  const tasks::LoopPointer loop = tasks::MakeLoop();
  auto callers = MakeCallers(loop.get(), clock, findings);
  if (!findings.empty()) {
    throw base::FindingsError(findings);
  }
  CallersReport report;
  CallersRun run(loop.get(), clock, settings, std::move(callers), report);
  const auto end_soon = [&run] { run.EndSoon(); };
  const auto on_terminate = tasks::Watch::Signal(loop.get(), SIGTERM, end_soon);
  const auto on_interrupt = tasks::Watch::Signal(loop.get(), SIGINT, end_soon);
  run.Start();
  event_base_dispatch(loop.get());
  std::cout << report.ToJson().dump() << "\n";
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace gaugevalve::callers

int main(int argc, char** argv) {
  return gaugevalve::standins::RunProgram(
      argc, argv,
      "Sends reservations at a fixed rate, repeats them under the same key until their outcome is\n"
      "known, and prints counts, latencies and the keys by outcome as JSON.\n"
      "Exit status: 0 the run has ended, 1 failure, 2 a bad flag. SIGTERM ends the run early.",
      gaugevalve::callers::Run);
}
