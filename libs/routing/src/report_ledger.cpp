#include "gaugevalve/routing/report_ledger.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace gaugevalve::routing {
namespace {

// A queue longer than this many times the slots adds nothing to the measure of load, so that one
// absurd report can't outweigh all others.
constexpr double kMostUtilisation = 4.0;

double Seconds(base::Duration duration) { return std::chrono::duration<double>(duration).count(); }

// Returns the agent's own measure of how busy its endpoint is; 0 for an endpoint without slots.
double SlotUtilisation(const AgentReport& report) {
  if (report.total_slots == 0) {
    return 0.0;
  }
  const bool measured = report.measured_time > base::Duration::zero();
  const double busy = measured ? Seconds(report.busy_slot_time) / Seconds(report.measured_time)
                               : static_cast<double>(report.busy_slots);
  const double wanted = std::min<double>(busy, report.total_slots) + report.queued_requests;
  return std::min(kMostUtilisation, wanted / report.total_slots);
}

}  // namespace

ReportLedger::ReportLedger(base::Duration smoothing_time, base::Duration report_timeout)
    : smoothing_time_(smoothing_time), report_timeout_(report_timeout) {}

std::optional<std::vector<std::uint32_t>> ReportLedger::WholeFlows(
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

ReportOutcome ReportLedger::Take(const AgentReport& report, base::TimePoint now) {
  const auto found = records_.find(report.node);
  const bool is_first =
      found == records_.end() || found->second.report.incarnation != report.incarnation;
  const bool is_numbered = report.sequence > 0;
  if (!is_first && is_numbered && report.sequence <= found->second.report.sequence) {
    return ReportOutcome::kOlderThanKnown;
  }
  if (!is_first && report.table_version < found->second.report.table_version) {
    return ReportOutcome::kOlderThanKnown;
  }
  std::optional<std::vector<std::uint32_t>> flows = WholeFlows(report);
  if (!flows) {
    return ReportOutcome::kNeedsFullReport;
  }
  AgentReport whole = report;
  whole.flows_in_buckets = std::move(*flows);
  whole.flow_changes.clear();
  if (is_first) {
    const double utilisation = SlotUtilisation(whole);
    records_[report.node] = Record{std::move(whole), now, utilisation, 0.0};
    return ReportOutcome::kAccepted;
  }
  Record& record = found->second;
  constexpr double kLeastInterval = 1e-3;  // seconds; reports that arrive together
  const double interval = std::max(kLeastInterval, Seconds(now - record.received_at));
  const double part = 1.0 - std::exp(-interval / Seconds(smoothing_time_));
  record.slot_utilisation += part * (SlotUtilisation(report) - record.slot_utilisation);
  record.failure_rate += part * (report.endpoint_failures / interval - record.failure_rate);
  record.report = std::move(whole);
  record.received_at = now;
  return ReportOutcome::kAccepted;
}

const AgentReport* ReportLedger::Find(base::NodeId node) const {
  const auto found = records_.find(node);
  return found == records_.end() ? nullptr : &found->second.report;
}

std::optional<std::uint32_t> ReportLedger::FlowsInBucket(base::NodeId node,
                                                         std::size_t bucket) const {
  const AgentReport* report = Find(node);
  if (report == nullptr || bucket >= report->flows_in_buckets.size()) {
    return std::nullopt;
  }
  return report->flows_in_buckets[bucket];
}

double ReportLedger::Trust(const Record& record, base::TimePoint now) const {
  const double age = Seconds(now - record.received_at) / Seconds(report_timeout_);
  return std::clamp(1.0 - age, 0.0, 1.0);
}

AgentView ReportLedger::View(const AgentStatus& status, base::TimePoint first_seen,
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
  view.trust = Trust(record, now);
  view.failure_rate = record.failure_rate;
  view.endpoint_uptime = record.report.endpoint_uptime + (now - record.received_at);
  return view;
}

}  // namespace gaugevalve::routing
