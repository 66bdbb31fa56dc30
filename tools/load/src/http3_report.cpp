#include "http3_report.h"

#include <algorithm>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

#include "imbalance.h"

namespace gaugevalve::load {
namespace {

constexpr double kMedian = 0.5;
constexpr double kNinetyNinth = 0.99;
constexpr double kMicrosecondsPerMillisecond = 1000;

double ImbalanceOf(const std::map<std::string, std::uint64_t>& by_endpoint,
                   std::uint64_t expected_endpoints) {
  std::vector<std::uint64_t> shares;
  shares.reserve(by_endpoint.size());
  for (const auto& [endpoint, share] : by_endpoint) {
    shares.push_back(share);
  }
  return Imbalance(shares, expected_endpoints);
}

nlohmann::json CountsToJson(const RequestCounts& counts) {
  return {{"answered", counts.Count(CallerOutcome::kAnswered)},
          {"not_run", counts.Count(CallerOutcome::kNotRun)},
          {"unknown", counts.Count(CallerOutcome::kUnknown)},
          {"crossed", counts.crossed},
          {"cut_as_whole", counts.cut_as_whole},
          {"median_us", counts.latencies.Quantile(kMedian).count()},
          {"p99_us", counts.latencies.Quantile(kNinetyNinth).count()}};
}

std::vector<std::string> KeysOf(const Http3ServiceReport& service, CallerOutcome outcome) {
  const auto keys = service.reservation_keys.find(outcome);
  return keys == service.reservation_keys.end() ? std::vector<std::string>() : keys->second;
}

nlohmann::json ServiceToJson(const Http3ServiceReport& service) {
  return {
      {"flows_opened", service.flows_opened},
      {"flows_finished", service.flows_finished},
      {"flows_broken", service.BrokenFlows()},
      {"broken_by_cause", service.flows_broken},
      {"goaways", service.goaways},
      {"boards_not_run", service.boards_not_run},
      {"board_events", service.board_events},
      {"board_gaps", service.board_gaps},
      {"boards_by_endpoint", service.boards_by_endpoint},
      {"requests_by_endpoint", service.requests_by_endpoint},
      {"flow_imbalance", ImbalanceOf(service.boards_by_endpoint, service.expected_endpoints)},
      {"request_imbalance", ImbalanceOf(service.requests_by_endpoint, service.expected_endpoints)},
      {"reservations", CountsToJson(service.reservations)},
      {"drawings", CountsToJson(service.drawings)},
      {"reservation_keys",
       {{"answered", KeysOf(service, CallerOutcome::kAnswered)},
        {"not_run", KeysOf(service, CallerOutcome::kNotRun)},
        {"unknown", KeysOf(service, CallerOutcome::kUnknown)}}}};
}

void AppendCounts(std::ostream& out, const std::string& name, const RequestCounts& counts) {
  const auto milliseconds = [&counts](double quantile) {
    return static_cast<double>(counts.latencies.Quantile(quantile).count()) /
           kMicrosecondsPerMillisecond;
  };
  out << "  " << name << ": " << counts.Count(CallerOutcome::kAnswered) << " answered, "
      << counts.Count(CallerOutcome::kNotRun) << " not run, "
      << counts.Count(CallerOutcome::kUnknown) << " outcome unknown, " << counts.crossed
      << " crossed, " << counts.cut_as_whole << " cut but said to be whole; median "
      << milliseconds(kMedian) << " ms, p99 " << milliseconds(kNinetyNinth) << " ms\n";
}

void AppendService(std::ostream& out, const std::string& name, const Http3ServiceReport& service) {
  out << "service " << name << " (http3)\n"
      << "  flows: " << service.flows_opened << " opened, " << service.flows_finished
      << " finished, " << service.BrokenFlows() << " broken, " << service.goaways
      << " asked to go\n";
  for (const auto& [cause, count] : service.flows_broken) {
    out << "    broken by " << cause << ": " << count << "\n";
  }
  out << "  boards: " << service.board_events << " events, " << service.board_gaps << " gaps, "
      << service.boards_not_run << " not run and asked for again\n";
  AppendCounts(out, "reservations", service.reservations);
  AppendCounts(out, "drawings", service.drawings);
  out << "  imbalance (max/mean): flows "
      << ImbalanceOf(service.boards_by_endpoint, service.expected_endpoints) << ", requests "
      << ImbalanceOf(service.requests_by_endpoint, service.expected_endpoints) << "\n";
  for (const auto& [endpoint, requests] : service.requests_by_endpoint) {
    out << "    " << endpoint << ": " << requests << " requests\n";
  }
}

}  // namespace

std::uint64_t RequestCounts::Count(CallerOutcome outcome) const {
  const auto count = outcomes.find(outcome);
  return count == outcomes.end() ? 0 : count->second;
}

std::uint64_t Http3ServiceReport::BrokenFlows() const {
  std::uint64_t total = 0;
  for (const auto& [cause, count] : flows_broken) {
    total += count;
  }
  return total;
}

bool Http3ServiceReport::IsClean() const {
  const auto is_clean = [](const RequestCounts& counts) {
    return counts.crossed == 0 && counts.cut_as_whole == 0;
  };
  const std::uint64_t answered =
      reservations.Count(CallerOutcome::kAnswered) + drawings.Count(CallerOutcome::kAnswered);
  return BrokenFlows() == 0 && board_gaps == 0 && is_clean(reservations) && is_clean(drawings) &&
         answered > 0;
}

bool Http3RunReport::IsClean() const {
  return std::all_of(services.begin(), services.end(),
                     [](const auto& entry) { return entry.second.IsClean(); });
}

nlohmann::json Http3RunReport::ToJson() const {
  nlohmann::json by_service = nlohmann::json::object();
  for (const auto& [name, service] : services) {
    by_service[name] = ServiceToJson(service);
  }
  return {{"services", by_service}, {"seed", seed}, {"clean", IsClean()}};
}

std::string FormatReport(const Http3RunReport& report) {
  constexpr int kDecimals = 2;
  std::ostringstream out;
  out << std::fixed << std::setprecision(kDecimals);
  for (const auto& [name, service] : report.services) {
    AppendService(out, name, service);
  }
  return out.str();
}

}  // namespace gaugevalve::load
