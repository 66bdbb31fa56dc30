#include "run_report.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace gaugevalve::load {
namespace {

constexpr double kMedian = 0.5;
constexpr double kNinetyNinth = 0.99;

double MaxOverMean(std::uint64_t largest, std::uint64_t total, std::uint64_t endpoints) {
  if (total == 0 || endpoints == 0) {
    return 0;
  }
  return static_cast<double>(largest) * static_cast<double>(endpoints) / static_cast<double>(total);
}

nlohmann::json BrokenToJson(const BrokenFlow& flow) {
  return {{"flow", flow.number},
          {"cause", std::string(ToString(flow.cause))},
          {"endpoint", flow.endpoint},
          {"other_endpoint", flow.other_endpoint},
          {"requests", flow.requests}};
}

nlohmann::json LatenciesToJson(const LatencySamples& latencies) {
  return {{"median_us", latencies.Quantile(kMedian).count()},
          {"p99_us", latencies.Quantile(kNinetyNinth).count()},
          {"largest_us", latencies.Largest().count()}};
}

nlohmann::json ServiceToJson(const ServiceReport& service) {
  nlohmann::json broken = nlohmann::json::object();
  for (const auto& [cause, count] : service.flows_broken) {
    broken[std::string(ToString(cause))] = count;
  }
  nlohmann::json described = nlohmann::json::array();
  for (const BrokenFlow& flow : service.described) {
    described.push_back(BrokenToJson(flow));
  }
  nlohmann::json endpoints = nlohmann::json::object();
  for (const auto& [name, counts] : service.endpoints) {
    endpoints[name] = {{"flows", counts.flows}, {"requests", counts.requests}};
  }
  return {{"flows_opened", service.flows_opened},
          {"flows_finished", service.flows_finished},
          {"flows_broken", service.BrokenFlows()},
          {"broken_by_cause", broken},
          {"broken_flows", described},
          {"requests_sent", service.requests_sent},
          {"retransmissions", service.retransmissions},
          {"answered", service.answered},
          {"unanswered", service.requests_sent - service.answered},
          {"duplicates", service.duplicates},
          {"crossed", service.crossed},
          {"malformed", service.malformed},
          {"endpoints", endpoints},
          {"flow_imbalance", service.FlowImbalance()},
          {"request_imbalance", service.RequestImbalance()},
          {"latency", LatenciesToJson(service.latencies)}};
}

}  // namespace

void ServiceReport::RecordEnd(const DatagramFlow& flow) {
  requests_sent += flow.Requests();
  retransmissions += flow.Retransmissions();
  const std::optional<FlowBreak> cause = flow.Broken();
  if (!cause) {
    ++flows_finished;
    return;
  }
  ++flows_broken[*cause];
  if (described.size() < kMaxDescribed) {
    described.push_back(
        {flow.Number(), *cause, flow.Endpoint(), flow.OtherEndpoint(), flow.Requests()});
  }
}

std::uint64_t ServiceReport::BrokenFlows() const {
  std::uint64_t total = 0;
  for (const auto& [cause, count] : flows_broken) {
    total += count;
  }
  return total;
}

double ServiceReport::FlowImbalance() const {
  std::uint64_t largest = 0;
  std::uint64_t total = 0;
  for (const auto& [name, counts] : endpoints) {
    largest = std::max(largest, counts.flows);
    total += counts.flows;
  }
  return MaxOverMean(largest, total, std::max<std::uint64_t>(expected_endpoints, endpoints.size()));
}

double ServiceReport::RequestImbalance() const {
  std::uint64_t largest = 0;
  std::uint64_t total = 0;
  for (const auto& [name, counts] : endpoints) {
    largest = std::max(largest, counts.requests);
    total += counts.requests;
  }
  return MaxOverMean(largest, total, std::max<std::uint64_t>(expected_endpoints, endpoints.size()));
}

bool RunReport::IsClean() const {
  return std::all_of(services.begin(), services.end(), [](const auto& entry) {
    const ServiceReport& service = entry.second;
    return service.BrokenFlows() == 0 && service.crossed == 0 && service.answered > 0;
  });
}

nlohmann::json RunReport::ToJson() const {
  nlohmann::json by_service = nlohmann::json::object();
  for (const auto& [name, service] : services) {
    by_service[name] = ServiceToJson(service);
  }
  return {{"services", by_service}, {"seed", seed}, {"clean", IsClean()}};
}

}  // namespace gaugevalve::load
