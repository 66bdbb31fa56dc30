// Decision core of an agent for `datagram` services.
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

// Settings of a FlowCore.
struct FlowCoreSettings {
  OwnershipSettings ownership;
  FlowTableSettings table;
  SourceLimiterSettings source_limit;
};

// Limits that the settings tree may change while the agent runs.
struct FlowLimits {
  FlowTableSettings table;
  std::uint32_t new_flows_per_source = 0;  // per second; 0 means no limit
};

// Relay the payload to the endpoint as part of this flow.
struct Relay {
  FlowId flow;
  bool is_new = false;  // the flow was opened by this datagram
};

// Send the datagram to another agent with the modified header.
struct PassOn {
  base::SocketAddress next_hop;
};

// What to do with one datagram.
using FlowAction = std::variant<Relay, PassOn, DropReason>;

// Decides on each datagram that reaches the agent. No I/O; not thread-safe. Memory is bounded by
// the number of buckets and the capacity of the flow table.
class FlowCore {
 public:
  FlowCore(const AgentIdentity& identity, const FlowCoreSettings& settings);

  // Applies a newer table of the agent's service; see BucketOwnership::UpdateTable().
  void UpdateTable(const routing::BucketTable& table, base::TimePoint confirmed_at);

  // Applies new limits; open flows stay open.
  void SetLimits(const FlowLimits& limits);

  // Decides on a datagram; the header is modified if the datagram is to be passed on.
  FlowAction Decide(const wire::FlowKey& key, wire::ForwardingHeader& header, base::TimePoint now);

  // Records that the endpoint sent data in the flow.
  void NoteAnswer(FlowId flow, base::TimePoint now) { table_.Touch(flow, now); }

  // Closes idle flows and returns them.
  std::vector<FlowId> CloseIdle(base::TimePoint now) { return table_.CloseIdle(now); }

  // Closes idle flows and records that the agent is running. A gap between two calls shows that the
  // agent was frozen, so once it has been called, call it a few times per second.
  std::vector<FlowId> Tick(base::TimePoint now);

  // Closes an open flow, for example when its socket fails.
  void Close(FlowId flow) { table_.Close(flow); }

  // Keeps open flows and opens no flow that another agent could open.
  void StartDraining(base::TimePoint now) { ownership_.StartDraining(now); }

  // Fills in the parts of the report that concern flows: identity, state, table version and counts.
  // The caller fills in the rest.
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
