#include "run_report.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "imbalance.h"

namespace gaugevalve::load {
namespace {

constexpr double kMedian = 0.5;
constexpr double kNinetyNinth = 0.99;

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
  std::vector<std::uint64_t> shares;
  shares.reserve(endpoints.size());
  for (const auto& [name, counts] : endpoints) {
    shares.push_back(counts.flows);
  }
  return Imbalance(shares, expected_endpoints);
}

double ServiceReport::RequestImbalance() const {
  std::vector<std::uint64_t> shares;
  shares.reserve(endpoints.size());
  for (const auto& [name, counts] : endpoints) {
    shares.push_back(counts.requests);
  }
  return Imbalance(shares, expected_endpoints);
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
