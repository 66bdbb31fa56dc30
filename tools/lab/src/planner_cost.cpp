#include "planner_cost.h"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <optional>
#include <string>
#include <vector>

#include "gaugevalve/routing/service_planner.h"
#include "gaugevalve/routing/table_codec.h"

namespace gaugevalve::lab {
namespace {

constexpr int kRounds = 400;
constexpr base::ServiceId kService(1);

double ProcessorMicroseconds() {
  constexpr double kMicroseconds = 1e6;
  return static_cast<double>(std::clock()) * kMicroseconds / static_cast<double>(CLOCKS_PER_SEC);
}

std::vector<routing::AgentStatus> MakeAgents(std::size_t count) {
  std::vector<routing::AgentStatus> agents(count);
  for (std::size_t number = 0; number < count; ++number) {
    agents[number].entry.node = base::MakeNodeId("agent-" + std::to_string(number));
    agents[number].entry.incarnation = base::Incarnation(1);
    agents[number].entry.zone = "zone-" + std::to_string(number % 3);
  }
  return agents;
}

// Returns the report of an agent that holds 30 flows in each bucket it owns.
std::string MakeReport(const routing::BucketTable& table, const routing::AgentStatus& agent) {
  constexpr std::uint32_t kFlowsInBucket = 30;
  routing::AgentReport report;
  report.service = kService;
  report.node = agent.entry.node;
  report.incarnation = agent.entry.incarnation;
  report.table_version = table.version;
  report.total_slots = 7;
  report.busy_slots = 3;
  report.age_of_service = std::chrono::hours(1);
  for (const routing::Bucket& bucket : table.buckets) {
    const bool owns = bucket.owner == agent.entry.node;
    report.flows_in_buckets.push_back(owns ? kFlowsInBucket : 0);
    report.open_flows += owns ? kFlowsInBucket : 0;
  }
  return routing::EncodeReport(report);
}

}  // namespace

PlannerCost MeasurePlanner(const PlannerSize& size) {
  routing::PlannerSettings settings;
  settings.bucket_count = size.buckets;
  settings.cold_start_ramp = base::Duration::zero();
  routing::ServicePlanner planner(kService, 1, 0, settings);
  const std::vector<routing::AgentStatus> agents = MakeAgents(size.agents);
  base::TimePoint now{};
  planner.SetAgents(agents, now);
  planner.Step(now);

  PlannerCost cost;
  cost.table_bytes = routing::EncodeTable(planner.Table()).size();
  for (int round = 0; round < kRounds; ++round) {
    now += std::chrono::seconds(1);
    std::vector<std::string> reports;
    reports.reserve(agents.size());
    for (const routing::AgentStatus& agent : agents) {
      reports.push_back(MakeReport(planner.Table(), agent));
    }
    cost.report_bytes = std::max(cost.report_bytes, reports.front().size());
    const double before_reports = ProcessorMicroseconds();
    for (const std::string& report : reports) {
      planner.TakeReport(routing::DecodeReport(report), now);
    }
    const double before_step = ProcessorMicroseconds();
    planner.Step(now);
    const double after_step = ProcessorMicroseconds();
    cost.report_microseconds +=
        (before_step - before_reports) / kRounds / static_cast<double>(size.agents);
    cost.quiet_step_microseconds += (after_step - before_step) / kRounds;
  }
  std::vector<routing::AgentStatus> one_leaves = agents;
  one_leaves.front().standing = routing::AgentStanding::kLeaving;
  for (int round = 0; round < kRounds; ++round) {
    routing::ServicePlanner fresh(kService, 1, 0, settings);
    fresh.SetAgents(agents, now);
    fresh.Step(now);
    fresh.SetAgents(one_leaves, now);
    const double before = ProcessorMicroseconds();
    const std::optional<routing::TableDelta> delta = fresh.Step(now);
    cost.leave_step_microseconds += (ProcessorMicroseconds() - before) / kRounds;
    cost.delta_bytes += delta ? routing::EncodeDelta(*delta).size() : 0;
  }
  cost.delta_bytes /= kRounds;
  return cost;
}

}  // namespace gaugevalve::lab
