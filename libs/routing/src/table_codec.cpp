#include "gaugevalve/routing/table_codec.h"

#include <google/protobuf/repeated_field.h>

#include <algorithm>
#include <cstdint>
#include <limits>

#include "bucket_columns.h"
#include "gaugevalve/routing/routing.pb.h"

namespace gaugevalve::routing {
namespace {

constexpr std::size_t kIpv4Length = 4;
constexpr std::size_t kIpv6Length = 16;
constexpr std::uint32_t kMaxBuckets = std::numeric_limits<std::uint16_t>::max();

// Durations in reports are bounded so that no later sum overflows: about 35 years.
constexpr std::uint64_t kMaxMicroseconds = std::uint64_t{1} << 50;

using AgentMessages = google::protobuf::RepeatedPtrField<proto::AgentEntry>;

template <class Message>
Message Parse(std::string_view bytes, const char* what) {
  Message message;
  const bool fits = bytes.size() <= static_cast<std::size_t>(std::numeric_limits<int>::max());
  if (!fits || !message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    throw DecodeError(std::string(what) + ": not a message of this kind");
  }
  return message;
}

void ToProto(const AgentEntry& agent, proto::AgentEntry& message) {
  const bool is_ipv4 = agent.data_address.family == base::AddressFamily::kIpv4;
  message.set_node(agent.node.value());
  message.set_incarnation(agent.incarnation.value());
  message.set_address(agent.data_address.address.data(), is_ipv4 ? kIpv4Length : kIpv6Length);
  message.set_port(agent.data_address.port);
  message.set_zone(agent.zone);
}

AgentEntry FromProto(const proto::AgentEntry& message) {
  const std::string& address = message.address();
  if (address.size() != kIpv4Length && address.size() != kIpv6Length) {
    throw DecodeError("agents: an address is neither IPv4 nor IPv6");
  }
  if (message.port() > std::numeric_limits<std::uint16_t>::max()) {
    throw DecodeError("agents: a port is out of range");
  }
  if (message.zone().size() > kMaxZoneLength) {
    throw DecodeError("agents: a zone's name is too long");
  }
  AgentEntry agent;
  agent.node = base::NodeId(message.node());
  agent.incarnation = base::Incarnation(message.incarnation());
  agent.data_address.family =
      address.size() == kIpv4Length ? base::AddressFamily::kIpv4 : base::AddressFamily::kIpv6;
  std::copy(address.begin(), address.end(), agent.data_address.address.begin());
  agent.data_address.port = static_cast<std::uint16_t>(message.port());
  agent.zone = message.zone();
  return agent;
}

void ToProto(const std::vector<AgentEntry>& agents, AgentMessages& messages) {
  for (const AgentEntry& agent : agents) {
    ToProto(agent, *messages.Add());
  }
}

std::vector<AgentEntry> FromProto(const AgentMessages& messages) {
  if (messages.size() > static_cast<int>(kMaxAgentsInMessage)) {
    throw DecodeError("agents: too many");
  }
  std::vector<AgentEntry> agents;
  agents.reserve(static_cast<std::size_t>(messages.size()));
  for (const proto::AgentEntry& message : messages) {
    AgentEntry agent = FromProto(message);
    const base::NodeId previous = agents.empty() ? base::NodeId() : agents.back().node;
    if (agent.node <= previous) {
      throw DecodeError("agents: not sorted, not distinct or nobody");
    }
    agents.push_back(std::move(agent));
  }
  return agents;
}

base::Duration DurationOf(std::uint64_t microseconds) {
  if (microseconds > kMaxMicroseconds) {
    throw DecodeError("report: a duration is out of range");
  }
  return base::Duration(static_cast<base::Duration::rep>(microseconds));
}

std::uint64_t MicrosecondsOf(base::Duration duration) {
  return static_cast<std::uint64_t>(std::max(duration, base::Duration::zero()).count());
}

// Checks the buckets that a report names and returns them in their order.
std::vector<BucketFlows> NamedBuckets(const proto::AgentReport& message) {
  if (message.bucket_count() > kMaxBuckets) {
    throw DecodeError("report: too many buckets");
  }
  if (message.bucket_gaps_size() != message.flows_size()) {
    throw DecodeError("report: bucket numbers and flows differ in length");
  }
  std::vector<BucketFlows> named;
  std::uint64_t next = 0;
  for (int position = 0; position < message.flows_size(); ++position) {
    next += message.bucket_gaps(position);
    if (next >= message.bucket_count()) {
      throw DecodeError("report: a bucket number is out of range");
    }
    named.push_back({base::BucketIndex(static_cast<std::uint16_t>(next)), message.flows(position)});
    ++next;
  }
  return named;
}

void ReadFlows(const proto::AgentReport& message, AgentReport& report) {
  const std::vector<BucketFlows> named = NamedBuckets(message);
  report.flows_base = message.flows_base();
  if (report.flows_base > 0) {
    report.flow_changes = named;
    return;
  }
  report.flows_in_buckets.assign(message.bucket_count(), 0);
  for (const BucketFlows& entry : named) {
    report.flows_in_buckets[entry.bucket.value()] = entry.flows;
  }
}

void AddBucket(const BucketFlows& entry, std::uint32_t& next, proto::AgentReport& message) {
  message.add_bucket_gaps(entry.bucket.value() - next);
  message.add_flows(entry.flows);
  next = entry.bucket.value() + 1U;
}

void WriteFlows(const AgentReport& report, proto::AgentReport& message) {
  std::uint32_t next = 0;
  message.set_flows_base(report.flows_base);
  if (report.flows_base > 0) {
    for (const BucketFlows& entry : report.flow_changes) {
      AddBucket(entry, next, message);
    }
    message.set_bucket_count(next);
    return;
  }
  for (std::size_t position = 0; position < report.flows_in_buckets.size(); ++position) {
    const base::BucketIndex bucket(static_cast<std::uint16_t>(position));
    if (report.flows_in_buckets[position] > 0) {
      AddBucket({bucket, report.flows_in_buckets[position]}, next, message);
    }
  }
  message.set_bucket_count(static_cast<std::uint32_t>(report.flows_in_buckets.size()));
}

}  // namespace

std::string EncodeTable(const BucketTable& table) {
  proto::BucketTable message;
  message.set_service(table.service.value());
  ToProto(table.version, *message.mutable_version());
  ToProto(table.agents, *message.mutable_agents());
  std::vector<const Bucket*> buckets;
  buckets.reserve(table.buckets.size());
  for (const Bucket& bucket : table.buckets) {
    buckets.push_back(&bucket);
  }
  ToProto(buckets, table.agents, *message.mutable_buckets());
  return message.SerializeAsString();
}

std::string EncodeDelta(const TableDelta& delta) {
  proto::TableDelta message;
  message.set_service(delta.service.value());
  ToProto(delta.base, *message.mutable_base());
  ToProto(delta.version, *message.mutable_version());
  ToProto(delta.agents, *message.mutable_agents());
  std::vector<const Bucket*> buckets;
  buckets.reserve(delta.changes.size());
  for (const BucketChange& change : delta.changes) {
    message.add_indices(change.index.value());
    buckets.push_back(&change.bucket);
  }
  ToProto(buckets, delta.agents, *message.mutable_buckets());
  return message.SerializeAsString();
}

std::string EncodeReport(const AgentReport& report) {
  proto::AgentReport message;
  message.set_service(report.service.value());
  message.set_node(report.node.value());
  message.set_incarnation(report.incarnation.value());
  message.set_state(static_cast<std::uint32_t>(report.state));
  ToProto(report.table_version, *message.mutable_table_version());
  message.set_open_flows(report.open_flows);
  message.set_busy_slots(report.busy_slots);
  message.set_total_slots(report.total_slots);
  message.set_queued_requests(report.queued_requests);
  message.set_recent_latency_microseconds(MicrosecondsOf(report.recent_latency));
  message.set_age_of_service_microseconds(MicrosecondsOf(report.endpoint_uptime));
  message.set_busy_slot_microseconds(MicrosecondsOf(report.busy_slot_time));
  message.set_measured_microseconds(MicrosecondsOf(report.measured_time));
  message.set_endpoint_failures(report.endpoint_failures);
  WriteFlows(report, message);
  return message.SerializeAsString();
}

BucketTable DecodeTable(std::string_view bytes) {
  const auto message = Parse<proto::BucketTable>(bytes, "table");
  BucketTable table;
  table.service = base::ServiceId(message.service());
  table.version = FromProto(message.version());
  table.agents = FromProto(message.agents());
  table.buckets = FromProto(message.buckets(), table.agents);
  return table;
}

TableDelta DecodeDelta(std::string_view bytes) {
  const auto message = Parse<proto::TableDelta>(bytes, "delta");
  TableDelta delta;
  delta.service = base::ServiceId(message.service());
  delta.base = FromProto(message.base());
  delta.version = FromProto(message.version());
  delta.agents = FromProto(message.agents());
  std::vector<Bucket> buckets = FromProto(message.buckets(), delta.agents);
  if (message.indices_size() != static_cast<int>(buckets.size())) {
    throw DecodeError("delta: indices and buckets differ in number");
  }
  for (std::size_t position = 0; position < buckets.size(); ++position) {
    const std::uint32_t index = message.indices(static_cast<int>(position));
    if (index >= kMaxBuckets) {
      throw DecodeError("delta: a bucket number is out of range");
    }
    delta.changes.push_back(
        {base::BucketIndex(static_cast<std::uint16_t>(index)), std::move(buckets[position])});
  }
  return delta;
}

AgentReport DecodeReport(std::string_view bytes) {
  const auto message = Parse<proto::AgentReport>(bytes, "report");
  if (message.state() > static_cast<std::uint32_t>(AgentState::kDraining)) {
    throw DecodeError("report: unknown state");
  }
  AgentReport report;
  report.service = base::ServiceId(message.service());
  report.node = base::NodeId(message.node());
  report.incarnation = base::Incarnation(message.incarnation());
  report.state = static_cast<AgentState>(message.state());
  report.table_version = FromProto(message.table_version());
  report.open_flows = message.open_flows();
  report.busy_slots = message.busy_slots();
  report.total_slots = message.total_slots();
  report.queued_requests = message.queued_requests();
  report.recent_latency = DurationOf(message.recent_latency_microseconds());
  report.endpoint_uptime = DurationOf(message.age_of_service_microseconds());
  report.busy_slot_time = DurationOf(message.busy_slot_microseconds());
  report.measured_time = DurationOf(message.measured_microseconds());
  report.endpoint_failures = message.endpoint_failures();
  ReadFlows(message, report);
  return report;
}

}  // namespace gaugevalve::routing
