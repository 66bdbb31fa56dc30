#include "report_writer.h"

#include <chrono>
#include <fstream>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

#include "summary.h"
#include "svg_plot.h"

namespace gaugevalve::lab {
namespace {

constexpr int kDecimals = 3;

double Milliseconds(base::Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

double Seconds(base::Duration duration) { return std::chrono::duration<double>(duration).count(); }

std::string Fixed(double value, int decimals = kDecimals) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(decimals) << value;
  return text.str();
}

std::string CausesOf(const std::map<std::string, std::uint64_t>& causes) {
  std::string text;
  for (const auto& [cause, count] : causes) {
    text += (text.empty() ? "" : ", ") + cause + " " + std::to_string(count);
  }
  return text.empty() ? "none" : text;
}

void WriteFlowTable(const std::vector<RunResults>& runs, std::ostream& stream) {
  stream << "| policy | service | flows opened | broken | by cause | opened unlisted | never "
            "opened | opened late |"
            " mean wait of these, s | longest, s | wrong service | requests | handed over | "
            "buckets moved | last new flow after drain, s |"
            " last request after drain, s |\n"
            "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
  for (const RunResults& run : runs) {
    for (const ServiceResults& service : run.services) {
      stream << "| " << run.policy << " | " << service.name << " | " << service.flows_opened
             << " | " << service.BrokenInAll() << " | " << CausesOf(service.broken) << " | "
             << service.flows_opened_unlisted << " | " << service.flows_refused << " | "
             << service.flows_opened_late << " | " << Fixed(Seconds(service.MeanLateWait()))
             << " | " << Fixed(Seconds(service.longest_open_wait)) << " | " << service.wrong_service
             << " | " << service.requests << " | " << service.handed_over << " | "
             << service.moved_buckets << " | " << Fixed(Seconds(service.last_new_flow_after_drain))
             << " | " << Fixed(Seconds(service.last_request_after_drain)) << " |\n";
    }
  }
}

void WritePhaseTable(const std::vector<RunResults>& runs, const std::vector<Phase>& phases,
                     std::ostream& stream) {
  stream << "| policy | service | phase | imbalance, mean of 10 s windows | 95th percentile |"
            " over the phase | by ramped capacity | utilisation | 99th percentile wait, ms |"
            " broken | buckets moved |\n|---|---|---|---|---|---|---|---|---|---|---|\n";
  for (const RunResults& run : runs) {
    for (const ServiceResults& service : run.services) {
      for (const PhaseSummary& phase : Summarise(service, phases)) {
        stream << "| " << run.policy << " | " << service.name << " | " << phase.phase << " | "
               << Fixed(phase.mean_imbalance) << " | " << Fixed(phase.p95_imbalance) << " | "
               << Fixed(phase.overall_imbalance) << " | " << Fixed(phase.mean_ramped_imbalance)
               << " | " << Fixed(phase.mean_utilisation, 2) << " | "
               << Fixed(Milliseconds(phase.p99_wait), 1) << " | " << phase.broken_flows << " | "
               << phase.moved_buckets << " |\n";
      }
    }
  }
}

void WriteTrafficTable(const std::vector<RunResults>& runs, std::ostream& stream) {
  stream << "| policy | role | control bytes/s, mean | most of one node | messages/s |\n"
            "|---|---|---|---|---|\n";
  for (const RunResults& run : runs) {
    for (const bool is_balancer : {true, false}) {
      const ControlTraffic& traffic = is_balancer ? run.balancers : run.agents;
      stream << "| " << run.policy << " | " << (is_balancer ? "balancer" : "agent") << " | "
             << Fixed(traffic.mean_bytes_per_second, 1) << " | "
             << Fixed(traffic.most_bytes_per_second, 1) << " | "
             << Fixed(traffic.mean_messages_per_second) << " |\n";
    }
  }
}

nlohmann::json ToJson(const PhaseSummary& phase) {
  return {{"phase", phase.phase},
          {"windows", phase.windows},
          {"mean_imbalance", phase.mean_imbalance},
          {"p95_imbalance", phase.p95_imbalance},
          {"overall_imbalance", phase.overall_imbalance},
          {"mean_ramped_imbalance", phase.mean_ramped_imbalance},
          {"mean_utilisation", phase.mean_utilisation},
          {"p99_wait_milliseconds", Milliseconds(phase.p99_wait)},
          {"broken_flows", phase.broken_flows},
          {"moved_buckets", phase.moved_buckets}};
}

nlohmann::json ToJson(const ServiceResults& service, const std::vector<Phase>& phases) {
  nlohmann::json json = {
      {"service", service.name},
      {"flows_opened", service.flows_opened},
      {"flows_opened_unlisted", service.flows_opened_unlisted},
      {"flows_refused", service.flows_refused},
      {"flows_opened_late", service.flows_opened_late},
      {"mean_late_wait_seconds", Seconds(service.MeanLateWait())},
      {"longest_open_wait_seconds", Seconds(service.longest_open_wait)},
      {"requests_offered", service.requests_offered},
      {"requests", service.requests},
      {"handed_over", service.handed_over},
      {"wrong_service", service.wrong_service},
      {"broken", service.broken},
      {"retries", service.retries},
      {"moved_buckets", service.moved_buckets},
      {"deltas", service.deltas},
      {"last_new_flow_after_drain_seconds", Seconds(service.last_new_flow_after_drain)},
      {"last_request_after_drain_seconds", Seconds(service.last_request_after_drain)}};
  for (const PhaseSummary& phase : Summarise(service, phases)) {
    json["phases"].push_back(ToJson(phase));
  }
  return json;
}

nlohmann::json ToJson(const ControlTraffic& traffic) {
  return {{"mean_bytes_per_second", traffic.mean_bytes_per_second},
          {"most_bytes_per_second", traffic.most_bytes_per_second},
          {"mean_messages_per_second", traffic.mean_messages_per_second}};
}

std::ofstream OpenFile(const std::string& path) {
  std::ofstream stream(path);
  if (!stream) {
    throw std::runtime_error("can't write " + path);
  }
  return stream;
}

std::string PlotPath(const std::string& directory, const std::string& measure,
                     const std::string& service) {
  std::ostringstream path;
  path << directory << '/' << measure << '-' << service << ".svg";
  return path.str();
}

// Returns the curve of one service in each run.
template <class Measure>
std::vector<PlotCurve> CurvesOf(const std::vector<RunResults>& runs, std::size_t service,
                                const Measure& measure) {
  std::vector<PlotCurve> curves;
  for (const RunResults& run : runs) {
    PlotCurve& curve = curves.emplace_back();
    curve.name = run.policy;
    for (const WindowSample& window : run.services[service].windows) {
      curve.points.push_back({Seconds(window.end), measure(window)});
    }
  }
  return curves;
}

}  // namespace

void WriteTables(const std::vector<RunResults>& runs, const std::vector<Phase>& phases,
                 std::ostream& stream) {
  WriteFlowTable(runs, stream);
  stream << "\n";
  WritePhaseTable(runs, phases, stream);
  stream << "\n";
  WriteTrafficTable(runs, stream);
}

void WriteCsv(const std::vector<RunResults>& runs, std::ostream& stream) {
  stream << "policy,service,time_seconds,agent,serving,busy_slots,utilisation,ramp,open_flows,"
            "imbalance,broken_flows,moved_buckets\n";
  for (const RunResults& run : runs) {
    for (const ServiceResults& service : run.services) {
      for (const WindowSample& window : service.windows) {
        for (const AgentSample& agent : window.agents) {
          stream << run.policy << ',' << service.name << ',' << Fixed(Seconds(window.end), 0) << ','
                 << agent.agent << ',' << (agent.serving ? 1 : 0) << ',' << Fixed(agent.busy_slots)
                 << ',' << Fixed(agent.utilisation) << ',' << Fixed(agent.ramp) << ','
                 << agent.open_flows << ',' << Fixed(ImbalanceOf(window, false)) << ','
                 << window.broken_flows << ',' << window.moved_buckets << '\n';
        }
      }
    }
  }
}

void WriteJson(const std::vector<RunResults>& runs, const std::vector<Phase>& phases,
               std::ostream& stream) {
  nlohmann::json json = nlohmann::json::array();
  for (const RunResults& run : runs) {
    nlohmann::json entry = {{"scenario", run.scenario},
                            {"policy", run.policy},
                            {"seed", run.seed},
                            {"events", run.events},
                            {"balancers", ToJson(run.balancers)},
                            {"agents", ToJson(run.agents)}};
    for (const ServiceResults& service : run.services) {
      entry["services"].push_back(ToJson(service, phases));
    }
    json.push_back(std::move(entry));
  }
  constexpr int kIndent = 2;
  stream << json.dump(kIndent) << "\n";
}

void WriteReports(const std::vector<RunResults>& runs, const std::vector<Phase>& phases,
                  const std::string& directory, std::ostream& standard_output) {
  WriteTables(runs, phases, standard_output);
  if (directory.empty()) {
    return;
  }
  std::ofstream csv = OpenFile(directory + "/runs.csv");
  WriteCsv(runs, csv);
  std::ofstream json = OpenFile(directory + "/runs.json");
  WriteJson(runs, phases, json);
  for (std::size_t service = 0; service < runs.front().services.size(); ++service) {
    const std::string& name = runs.front().services[service].name;
    std::ofstream imbalance = OpenFile(PlotPath(directory, "imbalance", name));
    WriteSvgPlot({name + ": most over mean busy slots in 10 s", "seconds", "imbalance"},
                 CurvesOf(runs, service,
                          [](const WindowSample& window) { return ImbalanceOf(window, false); }),
                 imbalance);
    std::ofstream broken = OpenFile(PlotPath(directory, "broken", name));
    WriteSvgPlot({name + ": broken flows so far", "seconds", "flows"},
                 CurvesOf(runs, service,
                          [](const WindowSample& window) {
                            return static_cast<double>(window.broken_flows);
                          }),
                 broken);
  }
}

}  // namespace gaugevalve::lab
