#include "gaugevalve/routing/report_store.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace gaugevalve::routing {
namespace {

// Upper bound of the utilisation of one report: requests in progress and queued, divided by the
// slots. Without it one absurd report would outweigh all others.
constexpr double kMaxUtilisation = 4.0;

double Seconds(base::Duration duration) { return std::chrono::duration<double>(duration).count(); }

// Returns how busy the agent measured its endpoint to be; 0 for an endpoint without slots.
double SlotUtilisation(const AgentReport& report) {
  if (report.total_slots == 0) {
    return 0.0;
  }
  const bool measured = report.measured_time > base::Duration::zero();
  const double busy = measured ? Seconds(report.busy_slot_time) / Seconds(report.measured_time)
                               : static_cast<double>(report.busy_slots);
  const double demand = std::min<double>(busy, report.total_slots) + report.queued_requests;
  return std::min(kMaxUtilisation, demand / report.total_slots);
}

}  // namespace

ReportStore::ReportStore(base::Duration smoothing_time, base::Duration report_timeout)
    : smoothing_time_(smoothing_time), report_timeout_(report_timeout) {}

std::optional<std::vector<std::uint32_t>> ReportStore::FullFlowCounts(
    const AgentReport& report) const {
  if (report.flows_base == 0) {
    return report.flows_in_buckets;
  }
  const AgentReport* known = Find(report.node);
  const bool fits = known != nullptr && known->incarnation == report.incarnation &&
                    known->sequence >= report.flows_base;
  if (!fits) {
    return std::nullopt;
  }
  std::vector<std::uint32_t> flows = known->flows_in_buckets;
  for (const BucketFlows& change : report.flow_changes) {
    if (change.bucket.value() >= flows.size()) {
      return std::nullopt;
    }
    flows[change.bucket.value()] = change.flows;
  }
  return flows;
}

ReportOutcome ReportStore::Accept(const AgentReport& report, base::TimePoint now) {
  const auto found = records_.find(report.node);
  const bool is_first =
      found == records_.end() || found->second.report.incarnation != report.incarnation;
  const bool is_numbered = report.sequence > 0;
  if (!is_first && is_numbered && report.sequence <= found->second.report.sequence) {
    return ReportOutcome::kStale;
  }
  if (!is_first && report.table_version < found->second.report.table_version) {
    return ReportOutcome::kStale;
  }
  std::optional<std::vector<std::uint32_t>> flows = FullFlowCounts(report);
  if (!flows) {
    return ReportOutcome::kNeedsFullReport;
  }
  AgentReport full_report = report;
  full_report.flows_in_buckets = std::move(*flows);
  full_report.flow_changes.clear();
  if (is_first) {
    const double utilisation = SlotUtilisation(full_report);
    records_[report.node] = Record{std::move(full_report), now, utilisation, 0.0};
    return ReportOutcome::kAccepted;
  }
  Record& record = found->second;
  // Bounds the rates of reports that arrive together.
  constexpr double kMinReportIntervalSeconds = 1e-3;
  const double interval = std::max(kMinReportIntervalSeconds, Seconds(now - record.received_at));
  const double part = 1.0 - std::exp(-interval / Seconds(smoothing_time_));
  record.slot_utilisation += part * (SlotUtilisation(report) - record.slot_utilisation);
  record.failure_rate += part * (report.endpoint_failures / interval - record.failure_rate);
  record.report = std::move(full_report);
  record.received_at = now;
  return ReportOutcome::kAccepted;
}

const AgentReport* ReportStore::Find(base::NodeId node) const {
  const auto found = records_.find(node);
  return found == records_.end() ? nullptr : &found->second.report;
}

std::optional<std::uint32_t> ReportStore::FlowsInBucket(base::NodeId node,
                                                        std::size_t bucket) const {
  const AgentReport* report = Find(node);
  if (report == nullptr || bucket >= report->flows_in_buckets.size()) {
    return std::nullopt;
  }
  return report->flows_in_buckets[bucket];
}

double ReportStore::ReportWeight(const Record& record, base::TimePoint now) const {
  const double age = Seconds(now - record.received_at) / Seconds(report_timeout_);
  return std::clamp(1.0 - age, 0.0, 1.0);
}

AgentView ReportStore::View(const AgentStatus& status, base::TimePoint first_seen,
                            base::TimePoint now) const {
  AgentView view;
  view.node = status.entry.node;
  view.zone = status.entry.zone;
  view.weight = status.weight;
  view.endpoint_uptime = now - first_seen;
  const auto found = records_.find(status.entry.node);
  if (found == records_.end()) {
    return view;
  }
  const Record& record = found->second;
  const double capacity = std::max<std::uint32_t>(1, status.flow_capacity);
  view.flow_utilisation = record.report.open_flows / capacity;
  view.utilisation =
      record.report.total_slots > 0 ? record.slot_utilisation : view.flow_utilisation;
  view.report_weight = ReportWeight(record, now);
  view.failure_rate = record.failure_rate;
  view.endpoint_uptime = record.report.endpoint_uptime + (now - record.received_at);
  return view;
}

}  // namespace gaugevalve::routing
