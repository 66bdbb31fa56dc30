#include "planner_cost.h"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <numeric>
#include <optional>
#include <string>
#include <vector>

#include "gaugevalve/base/random_source.h"
#include "gaugevalve/control/control_message.h"
#include "gaugevalve/routing/flow_count_encoder.h"
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

// An agent that holds about 30 flows in each bucket it owns; each flow lasts 263 s on average,
// which is what the target's 8.7 M open flows and 33,000 new ones a second make.
class ReportingAgent {
 public:
  ReportingAgent(const routing::BucketTable& table, const routing::AgentStatus& agent,
                 std::uint64_t seed)
      : table_(table), agent_(agent), random_(seed) {
    for (const routing::Bucket& bucket : table.buckets) {
      flows_.push_back(bucket.owner == agent.entry.node ? kFlowsInBucket : 0);
    }
  }

  // Lets a second pass: flows come and go.
  void PassSecond() {
    for (std::uint32_t& flows : flows_) {
      const bool is_own = flows > 0;
      const std::uint32_t closed = Count(flows);
      flows += is_own ? Count(kFlowsInBucket) : 0;
      flows -= closed;
    }
  }

  control::NumberedReport MakeReport();
  void HandleAnswer(std::uint64_t sequence) {
    digest_.HandleAnswer(sequence, routing::FlowCountsOutcome::kAccepted);
  }

 private:
  static constexpr std::uint32_t kFlowsInBucket = 30;

  // Returns how many of `flows` events that come every 263 s each come in one second.
  std::uint32_t Count(std::uint32_t flows) {
    constexpr std::uint64_t kMeanSeconds = 263;
    std::uint32_t count = 0;
    for (std::uint32_t flow = 0; flow < flows; ++flow) {
      count += random_.NextBelow(kMeanSeconds) == 0 ? 1 : 0;
    }
    return count;
  }

  const routing::BucketTable& table_;
  const routing::AgentStatus& agent_;
  base::RandomSource random_;
  std::vector<std::uint32_t> flows_;  // index = bucket
  std::uint64_t sequence_ = 0;
  routing::FlowCountEncoder digest_;
};

control::NumberedReport ReportingAgent::MakeReport() {
  routing::AgentReport report;
  report.service = kService;
  report.node = agent_.entry.node;
  report.incarnation = agent_.entry.incarnation;
  report.table_version = table_.version;
  report.total_slots = 7;
  report.busy_slots = 3;
  report.endpoint_uptime = std::chrono::hours(1);
  constexpr base::Duration kSecond = std::chrono::seconds(1);
  report.busy_slot_time = 3 * kSecond;
  report.measured_time = kSecond;
  report.flows_in_buckets = flows_;
  report.open_flows = std::accumulate(flows_.begin(), flows_.end(), 0U);
  report.sequence = ++sequence_;
  digest_.EncodeChanges(report);
  return {sequence_, report};
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
  std::vector<ReportingAgent> reporters;
  reporters.reserve(agents.size());
  for (const routing::AgentStatus& agent : agents) {
    reporters.emplace_back(planner.Table(), agent, reporters.size() + 1);
  }
  for (int round = 0; round < kRounds; ++round) {
    now += std::chrono::seconds(1);
    std::vector<std::string> reports;
    reports.reserve(agents.size());
    for (ReportingAgent& reporter : reporters) {
      reporter.PassSecond();
      const control::NumberedReport numbered = reporter.MakeReport();
      reports.push_back(control::EncodeReport(numbered));
      reporter.HandleAnswer(numbered.sequence);
      const control::ReportAnswer answer{numbered.sequence, planner.Table().version};
      cost.answer_bytes = std::max(cost.answer_bytes, control::EncodeAnswer(answer).size());
    }
    for (const std::string& report : reports) {
      const auto bytes = static_cast<double>(report.size());
      cost.report_bytes +=
          round > 0 ? bytes / (kRounds - 1) / static_cast<double>(reports.size()) : 0.0;
      cost.whole_report_bytes = std::max(cost.whole_report_bytes, report.size());
    }
    const double before_reports = ProcessorMicroseconds();
    for (const std::string& report : reports) {
      const control::ControlMessage message = control::DecodeControlMessage(report);
      planner.HandleReport(std::get<control::NumberedReport>(message).report, now);
    }
    const double before_step = ProcessorMicroseconds();
    planner.Step(now);
    const double after_step = ProcessorMicroseconds();
    cost.report_microseconds +=
        (before_step - before_reports) / kRounds / static_cast<double>(size.agents);
    cost.quiet_step_microseconds += (after_step - before_step) / kRounds;
  }
  std::vector<routing::AgentStatus> one_leaves = agents;
  one_leaves.front().liveness = routing::AgentLiveness::kLeaving;
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
