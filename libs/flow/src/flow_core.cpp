#include "gaugevalve/flow/flow_core.h"

namespace gaugevalve::flow {

FlowCore::FlowCore(const AgentIdentity& identity, const FlowCoreSettings& settings)
    : ownership_(identity, settings.ownership),
      table_(settings.table),
      source_limiter_(settings.source_limit) {}

void FlowCore::UpdateTable(const routing::BucketTable& table, base::TimePoint confirmed_at) {
  ownership_.UpdateTable(table, confirmed_at);
}

void FlowCore::SetLimits(const FlowLimits& limits) {
  table_.SetLimits(limits.table);
  source_limiter_.SetRate(limits.new_flows_per_source);
}

FlowAction FlowCore::Decide(const wire::FlowKey& key, wire::ForwardingHeader& header,
                            base::TimePoint now) {
  ownership_.CheckPause(now);
  if (const std::optional<DropReason> reason = ownership_.ReconcileEntry(header, key.Hash())) {
    return *reason;
  }
  const std::optional<FlowId> flow = table_.Find(key);
  const OwnershipDecision decision =
      ownership_.Decide(header, flow ? std::optional(table_.Confirmed(*flow)) : std::nullopt, now);
  switch (decision.verdict) {
    case Verdict::kServe:
      table_.Touch(*flow, now);
      if (decision.confirms) {
        table_.SetConfirmed(*flow, ownership_.EntryVersion(header.bucket));
      }
      return Relay{*flow, false};
    case Verdict::kOpen:
      return Open(key, header.bucket, now);
    case Verdict::kPassOn:
      return PassOn{decision.next_hop};
    case Verdict::kDrop:
      break;
  }
  return decision.reason;
}

std::vector<FlowId> FlowCore::Tick(base::TimePoint now) {
  ownership_.NoteTime(now);
  return table_.CloseIdle(now);
}

FlowAction FlowCore::Open(const wire::FlowKey& key, base::BucketIndex bucket, base::TimePoint now) {
  if (!source_limiter_.Allow(key.source, now)) {
    return DropReason::kSourceLimit;
  }
  const std::optional<FlowId> flow = table_.Open(key, bucket, ownership_.EntryVersion(bucket), now);
  if (!flow) {
    return DropReason::kFlowTableFull;
  }
  return Relay{*flow, true};
}

void FlowCore::FillReport(routing::AgentReport& report) const {
  const AgentIdentity& identity = ownership_.Identity();
  report.service = identity.service;
  report.node = identity.node;
  report.incarnation = identity.incarnation;
  report.state =
      ownership_.IsDraining() ? routing::AgentState::kDraining : routing::AgentState::kServing;
  report.table_version = ownership_.AcknowledgedVersion();
  report.open_flows = static_cast<std::uint32_t>(table_.Size());
  report.flows_in_buckets = table_.CountByBucket(ownership_.BucketCount());
}

}  // namespace gaugevalve::flow
