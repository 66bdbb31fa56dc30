// gaugevalve-load: load generator and checker. See docs/operators/first-run.md.

#include <absl/flags/flag.h>
#include <absl/time/time.h>

#include <charconv>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "datagram_run.h"
#include "gaugevalve/base/finding.h"
#include "gaugevalve/standins/command_line.h"
#include "gaugevalve/tasks/task.h"
#include "gaugevalve/telemetry/logging.h"
#include "http3_run.h"
#include "used_ports.h"

ABSL_FLAG(
    std::string, mode, "datagram",
    "what the services are: datagram (UDP echo) or http3 (live board, reservations, drawings)");
ABSL_FLAG(std::string, services, "",
          "services to load and their virtual addresses: name=IP:port,name=IP:port");
ABSL_FLAG(std::string, expected_endpoints, "",
          "endpoints of each service, for the imbalance: name=COUNT,name=COUNT; "
          "those not given: as many as answered");
ABSL_FLAG(double, flows_per_second, 50, "new flows a second, for each service");
ABSL_FLAG(std::uint64_t, max_open_flows, 2000, "open flows at most, for each service");
ABSL_FLAG(absl::Duration, duration, absl::Seconds(10), "for how long flows are opened");
ABSL_FLAG(absl::Duration, flow_lifetime, absl::Seconds(10),
          "mean lifetime of a flow, exponentially distributed");
ABSL_FLAG(absl::Duration, request_interval, absl::Milliseconds(100),
          "from an answer to the flow's next request");
ABSL_FLAG(absl::Duration, retry_after, absl::Milliseconds(200),
          "after which an unanswered request is sent again");
ABSL_FLAG(absl::Duration, silence, absl::Seconds(5),
          "after which an unanswered request makes its flow count as broken");
ABSL_FLAG(std::uint64_t, payload_bytes, 100, "size of a request, bytes, at most 1400");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the lifetimes; also the upper half of flow numbers");
ABSL_FLAG(double, drawing_share, 0.2, "share of requests that fetch a drawing; mode http3 only");
ABSL_FLAG(
    std::string, used_ports, "",
    "file with the source ports of earlier runs against the same deployment, to which this "
    "run's are added: no flow gets one of them, as agents may still hold the flow that had it. "
    "Datagram mode only");
ABSL_FLAG(std::string, output, "text", "form of the report on standard output: text or json");

namespace gaugevalve::load {
namespace {

constexpr int kExitNotClean = 1;
constexpr std::uint64_t kMaxPayloadBytes = 1400;
constexpr std::uint64_t kMaxSeed = 0x7FFFFFFF;

base::Duration ReadDuration(const char* flag, absl::Duration value, base::Findings& findings) {
  const base::Duration duration(absl::ToInt64Microseconds(value));
  if (duration <= base::Duration::zero()) {
    findings.push_back({{flag, 0, 0, ""}, "must be above 0"});
  }
  return duration;
}

// Reads --expected_endpoints into the report's services.
template <class Report>
void ReadExpectedEndpoints(Report& report, base::Findings& findings) {
  std::istringstream stream(absl::GetFlag(FLAGS_expected_endpoints));
  for (std::string part; std::getline(stream, part, ',');) {
    const std::size_t separator = std::min(part.find('='), part.size());
    const auto service = report.services.find(part.substr(0, separator));
    std::uint64_t count = 0;
    const char* const begin = part.data() + std::min(separator + 1, part.size());
    const char* const end = part.data() + part.size();
    const auto [rest, error] = std::from_chars(begin, end, count);
    if (service == report.services.end() || begin == end || rest != end || error != std::errc()) {
      findings.push_back(
          {{"--expected_endpoints", 0, 0, ""}, "'" + part + "' is not SERVICE=COUNT"});
      continue;
    }
    service->second.expected_endpoints = count;
  }
}

// What both modes have in common.
struct CommonSettings {
  std::vector<standins::NamedAddress> services;
  base::Duration duration{};
  base::Duration flow_lifetime{};
  base::Duration request_interval{};
  base::Duration silence{};
};

// Reads the flags of both modes and puts the services into the report.
template <class Report>
CommonSettings ReadCommonSettings(Report& report, base::Findings& findings) {
  CommonSettings settings;
  settings.services =
      standins::ReadNamedAddresses("--services", absl::GetFlag(FLAGS_services), findings);
  if (settings.services.empty() && findings.empty()) {
    findings.push_back({{"--services", 0, 0, ""}, "names no service"});
  }
  for (const standins::NamedAddress& service : settings.services) {
    report.services[service.name] = {};
  }
  ReadExpectedEndpoints(report, findings);
  settings.duration = ReadDuration("--duration", absl::GetFlag(FLAGS_duration), findings);
  settings.flow_lifetime =
      ReadDuration("--flow_lifetime", absl::GetFlag(FLAGS_flow_lifetime), findings);
  settings.request_interval =
      ReadDuration("--request_interval", absl::GetFlag(FLAGS_request_interval), findings);
  settings.silence = ReadDuration("--silence", absl::GetFlag(FLAGS_silence), findings);
  report.seed = absl::GetFlag(FLAGS_seed);
  if (report.seed > kMaxSeed) {
    findings.push_back({{"--seed", 0, 0, ""}, "must be at most 2147483647"});
  }
  const std::string output = absl::GetFlag(FLAGS_output);
  if (output != "text" && output != "json") {
    findings.push_back({{"--output", 0, 0, ""}, "must be text or json"});
  }
  return settings;
}

void ThrowIfAny(const base::Findings& findings) {
  if (!findings.empty()) {
    throw base::FindingsError(findings);
  }
}

DatagramRunSettings ReadDatagramSettings(RunReport& report) {
  base::Findings findings;
  const CommonSettings common = ReadCommonSettings(report, findings);
  DatagramRunSettings settings;
  settings.services = common.services;
  settings.flows_per_second = absl::GetFlag(FLAGS_flows_per_second);
  settings.max_open_flows = absl::GetFlag(FLAGS_max_open_flows);
  settings.duration = common.duration;
  settings.mean_flow_lifetime = common.flow_lifetime;
  FlowTiming& timing = settings.timing;
  timing.request_interval = common.request_interval;
  timing.retry_after = ReadDuration("--retry_after", absl::GetFlag(FLAGS_retry_after), findings);
  settings.payload_bytes = absl::GetFlag(FLAGS_payload_bytes);
  if (settings.payload_bytes > kMaxPayloadBytes) {
    findings.push_back({{"--payload_bytes", 0, 0, ""}, "must be at most 1400"});
  }
  settings.seed = report.seed;
  settings.used_ports = ReadUsedPorts(absl::GetFlag(FLAGS_used_ports));
  ThrowIfAny(findings);
  timing.attempts = static_cast<std::uint32_t>(std::max<std::int64_t>(
      1, (common.silence + timing.retry_after - base::Duration(1)) / timing.retry_after));
  return settings;
}

Http3RunSettings ReadHttp3Settings(Http3RunReport& report) {
  base::Findings findings;
  const CommonSettings common = ReadCommonSettings(report, findings);
  Http3RunSettings settings;
  settings.services = common.services;
  settings.flows_per_second = absl::GetFlag(FLAGS_flows_per_second);
  settings.max_open_flows = absl::GetFlag(FLAGS_max_open_flows);
  settings.duration = common.duration;
  settings.mean_flow_lifetime = common.flow_lifetime;
  settings.flow.request_interval = common.request_interval;
  settings.flow.silence = common.silence;
  settings.flow.drawing_share = absl::GetFlag(FLAGS_drawing_share);
  constexpr char kTrustAnyServer[] = "";  // the deployments under load have trial certificates
  settings.flow.credentials = quic::MakeClientCredentials(kTrustAnyServer);
  settings.seed = report.seed;
  ThrowIfAny(findings);
  return settings;
}

// Tells later runs which ports are taken.
void KeepUsedPorts(const DatagramRun& run) {
  if (!absl::GetFlag(FLAGS_used_ports).empty()) {
    WriteUsedPorts(absl::GetFlag(FLAGS_used_ports), run.UsedPorts());
  }
}

void KeepUsedPorts(const Http3Run& /*run*/) {}  // its connections have identifiers of their own

// Runs until the load has ended, prints the report and returns the exit status.
template <class LoadRun, class Settings, class Report>
int RunLoad(const Settings& settings, Report& report) {
  const telemetry::LoggingSession logging(telemetry::Level::kInfo);
  const tasks::LoopPointer loop = tasks::MakeLoop();
  LoadRun run(loop.get(), settings, report);
  const auto end_soon = [&run] { run.EndSoon(); };
  const auto on_terminate = tasks::Watch::Signal(loop.get(), SIGTERM, end_soon);
  const auto on_interrupt = tasks::Watch::Signal(loop.get(), SIGINT, end_soon);
  run.Start();
  event_base_dispatch(loop.get());
  KeepUsedPorts(run);
  if (absl::GetFlag(FLAGS_output) == "json") {
    std::cout << report.ToJson().dump() << "\n";
  } else {
    std::cout << FormatReport(report);
  }
  return report.IsClean() ? EXIT_SUCCESS : kExitNotClean;
}

int Run() {
  const std::string mode = absl::GetFlag(FLAGS_mode);
  if (mode == "datagram") {
    RunReport report;
    return RunLoad<DatagramRun>(ReadDatagramSettings(report), report);
  }
  if (mode == "http3") {
    Http3RunReport report;
    return RunLoad<Http3Run>(ReadHttp3Settings(report), report);
  }
  throw base::FindingsError({{{"--mode", 0, 0, ""}, "must be datagram or http3"}});
}

}  // namespace
}  // namespace gaugevalve::load

int main(int argc, char** argv) {
  return gaugevalve::standins::RunProgram(
      argc, argv,
      "Opens flows to services, checks every answer and reports broken flows and imbalance.\n"
      "Exit status: 0 all is well, 1 a flow broke, an answer was crossed or a service never\n"
      "answered, 2 a bad flag. SIGTERM ends the run early, with a report.",
      gaugevalve::load::Run);
}
