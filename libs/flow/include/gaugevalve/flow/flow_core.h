// The agent's decision core for `datagram` services.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/flow/bucket_ownership.h"
#include "gaugevalve/flow/drop_reason.h"
#include "gaugevalve/flow/flow_table.h"
#include "gaugevalve/flow/source_limiter.h"
#include "gaugevalve/routing/agent_report.h"
#include "gaugevalve/routing/bucket_table.h"
#include "gaugevalve/wire/flow_key.h"
#include "gaugevalve/wire/forwarding_header.h"

namespace gaugevalve::flow {

// All limits of a FlowCore.
struct FlowCoreSettings {
  OwnershipSettings ownership;
  FlowTableSettings table;
  SourceLimiterSettings source_limit;
};

// What the settings tree may change while the agent runs.
struct FlowLimits {
  FlowTableSettings table;
  std::uint32_t new_flows_per_source = 0;  // a second; 0 is "no limit"
};

// Give the payload to the endpoint as part of this flow.
struct Relay {
  FlowId flow;
  bool is_new = false;  // the flow was opened by this datagram
};

// Send the datagram to another agent, with the header as the core has changed it.
struct PassOn {
  base::SocketAddress next_hop;
};

// What to do with one datagram.
using FlowAction = std::variant<Relay, PassOn, DropReason>;

// Decides about each datagram that reaches the agent. Pure and not thread-safe; memory is bounded
// by the number of buckets and the flow table's capacity.
class FlowCore {
 public:
  FlowCore(const AgentIdentity& identity, const FlowCoreSettings& settings);

  // Takes a newer table of the agent's service; see BucketOwnership::UpdateTable().
  void UpdateTable(const routing::BucketTable& table, base::TimePoint confirmed_at);

  // Goes by these limits from now on; open flows stay open.
  void SetLimits(const FlowLimits& limits);

  // Decides about a datagram; the header is changed where it is to be passed on.
  FlowAction Decide(const wire::FlowKey& key, wire::ForwardingHeader& header, base::TimePoint now);

  // Notes that the endpoint sent something in the flow.
  void NoteAnswer(FlowId flow, base::TimePoint now) { table_.Touch(flow, now); }

  // Closes idle flows and returns them.
  std::vector<FlowId> CloseIdle(base::TimePoint now) { return table_.CloseIdle(now); }

  // Closes idle flows as well, and notes that the agent runs: by the gap between two calls it knows
  // that it was frozen. Once called, call it a few times a second.
  std::vector<FlowId> Tick(base::TimePoint now);

  // Closes an open flow, say when its socket fails.
  void Close(FlowId flow) { table_.Close(flow); }

  // Keeps what is open and opens nothing that another agent could open.
  void StartDraining(base::TimePoint now) { ownership_.StartDraining(now); }

  // Fills in what the planner must know of flows: identity, state, table version, counts. The rest
  // of the report is the caller's.
  void FillReport(routing::AgentReport& report) const;

  const FlowTable& Flows() const { return table_; }
  const BucketOwnership& Ownership() const { return ownership_; }

 private:
  FlowAction Open(const wire::FlowKey& key, base::BucketIndex bucket, base::TimePoint now);

  BucketOwnership ownership_;
  FlowTable table_;
  SourceLimiter source_limiter_;
};

}  // namespace gaugevalve::flow
