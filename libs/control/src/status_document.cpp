#include "gaugevalve/control/status_document.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

#include "gaugevalve/wire/flow_key.h"

namespace gaugevalve::control {
namespace {

using Json = nlohmann::ordered_json;

std::int64_t Milliseconds(base::Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

std::string Text(const routing::TableVersion& version) {
  return std::to_string(version.epoch) + "." + std::to_string(version.generation) + "." +
         std::to_string(version.sequence);
}

std::string AddressOf(const MemberDirectory& directory, base::NodeId node) {
  const membership::Member* member = directory.Find(node);
  return member == nullptr ? "" : member->metadata->control_address.ToString();
}

// Returns a node as shown to operators: with its endpoint's name for agents and its control
// address.
Json NodeJson(const MemberDirectory& directory, base::NodeId node) {
  const membership::Member* member = directory.Find(node);
  Json json{{"node", node.value()}, {"control_address", AddressOf(directory, node)}};
  if (member != nullptr && member->metadata->role == membership::Role::kAgent) {
    json["endpoint"] = member->metadata->endpoint_name;
  }
  return json;
}

Json SettingsJson(const ControlNode& node) {
  const std::shared_ptr<const NodeView> view = node.View();
  const base::Revision in_force = view == nullptr ? base::Revision() : view->revision;
  Json json{{"revision_in_force", in_force.value()}};
  if (node.IsBalancer()) {
    json["newest_revision_known"] = node.Settings().NewestKnown().value();
    json["lags"] = node.Settings().NewestKnown() > in_force;
    json["refused_because"] = base::FormatFindings(node.Settings().Findings());
  }
  return json;
}

Json RosterJson(const ControlNode& node) {
  const Roster& roster = node.NewestRoster();
  Json members = Json::array();
  for (const RosterMember& member : roster.members) {
    Json json = NodeJson(node.Directory(), member.node);
    json["slot"] = member.slot;
    json["live"] = node.Directory().IsLive(member.node, member.incarnation);
    members.push_back(std::move(json));
  }
  return {{"epoch", roster.epoch}, {"sequence", roster.sequence}, {"members", std::move(members)}};
}

// Returns the agents that own buckets and thus get new flows, with the number of their buckets.
Json OwnersJson(const MemberDirectory& directory, const routing::BucketTable& table) {
  std::map<base::NodeId, std::size_t> counts;
  for (const routing::Bucket& bucket : table.buckets) {
    if (bucket.owner != base::NodeId()) {
      ++counts[bucket.owner];
    }
  }
  Json owners = Json::array();
  for (const auto& [owner, count] : counts) {
    Json json = NodeJson(directory, owner);
    json["buckets"] = count;
    owners.push_back(std::move(json));
  }
  return owners;
}

Json ServicesJson(const ControlNode& node) {
  Json services = Json::array();
  const std::shared_ptr<const NodeView> view = node.View();
  if (view == nullptr) {
    return services;
  }
  for (const ServiceView& service : view->services) {
    Json json{{"name", service.name},
              {"virtual_address", service.virtual_address.ToString()},
              {"table_version", Text(service.table->version)},
              {"buckets", service.table->buckets.size()},
              {"agents", service.table->agents.size()},
              {"owners", OwnersJson(node.Directory(), *service.table)},
              {"planned_here", node.Planners().Plans(service.id)}};
    const std::optional<ElectedPlanner> planner = node.PlannerOf(service.id);
    if (planner.has_value()) {
      json["planner"] = NodeJson(node.Directory(), planner->node);
    }
    services.push_back(std::move(json));
  }
  return services;
}

Json MembersJson(const ControlNode& node) {
  Json members = Json::array();
  node.Members().ForEach([&](const membership::Member& member) {
    const membership::MemberMetadata& metadata = *member.metadata;
    const bool agent = metadata.role == membership::Role::kAgent;
    Json json{{"node", member.node.value()},
              {"role", agent ? "agent" : "balancer"},
              {"state", std::string(membership::MemberStateName(member.state))},
              {"leaving", metadata.leaving},
              {"region", metadata.region},
              {"zone", metadata.zone},
              {"control_address", metadata.control_address.ToString()}};
    if (agent) {
      json["endpoint"] = metadata.endpoint_name;
    }
    members.push_back(std::move(json));
  });
  return members;
}

Json CountersJson(const ControlNode& node) {
  const dissemination::DisseminationCounters& counters = node.Dissemination().Counters();
  const dissemination::RecordStore& records = node.Dissemination().Records();
  return {{"records", records.RecordCount()},
          {"record_bytes", records.TotalBytes()},
          {"dissemination_bytes_sent", counters.bytes_sent},
          {"updates_received", counters.updates_received},
          {"duplicates_received", counters.duplicates_received},
          {"malformed_messages", counters.malformed_messages},
          {"refused_full", counters.refused_full},
          {"queue_dropped", counters.queue_dropped},
          {"comparisons_equal", counters.comparisons_equal},
          {"comparisons_different", counters.comparisons_different}};
}

}  // namespace

std::string FormatStatus(const ControlNode& node, const StoreStatus& store, base::TimePoint now) {
  const membership::MemberMetadata& metadata = node.Options().metadata;
  const std::shared_ptr<const NodeView> view = node.View();
  const bool confirmed = view != nullptr && view->confirmed_at != base::TimePoint{};
  Json json{
      {"name", node.Options().name},
      {"node", base::MakeNodeId(node.Options().name).value()},
      {"role", node.IsBalancer() ? "balancer" : "agent"},
      {"region", metadata.region},
      {"zone", metadata.zone},
      {"life", metadata.process_incarnation.value()},
      {"joined", node.Members().IsJoined()},
      {"settings", SettingsJson(node)},
      {"confirmed_milliseconds_ago",
       confirmed ? Json(Milliseconds(now - view->confirmed_at)) : Json(nullptr)},
      {"store", {{"in_use", store.in_use}, {"streaming", store.streaming}, {"lease", store.lease}}},
      {"roster", RosterJson(node)},
      {"services", ServicesJson(node)},
      {"members", MembersJson(node)},
      {"counters", CountersJson(node)}};
  constexpr int kIndent = 2;
  return json.dump(kIndent, ' ', false, Json::error_handler_t::replace) + "\n";
}

std::optional<std::string> ExplainFlow(const ControlNode& node, std::string_view service_name,
                                       const base::SocketAddress& source) {
  const std::shared_ptr<const NodeView> view = node.View();
  if (view == nullptr) {
    return std::nullopt;
  }
  const auto service =
      std::find_if(view->services.begin(), view->services.end(),
                   [&](const ServiceView& candidate) { return candidate.name == service_name; });
  if (service == view->services.end()) {
    return std::nullopt;
  }
  const routing::BucketTable& table = *service->table;
  const wire::FlowKey key{source, service->virtual_address};
  const base::BucketIndex index = table.BucketOf(key.Hash());
  const routing::Bucket& bucket = table.buckets[index.value()];
  Json chain = Json::array();
  for (const base::NodeId previous : bucket.previous_owners) {
    chain.push_back(NodeJson(node.Directory(), previous));
  }
  const bool owned = bucket.owner != base::NodeId();
  const std::string why = !owned
                              ? "no live agent owns the bucket"
                              : (bucket.previous_owners.empty()
                                     ? "the owner opens the flow if it doesn't have it"
                                     : "the owner asks the chain for the flow before it opens it");
  const Json json{{"service", service->name},
                  {"source", source.ToString()},
                  {"bucket", index.value()},
                  {"bucket_version", Text(bucket.version)},
                  {"table_version", Text(table.version)},
                  {"owner", owned ? NodeJson(node.Directory(), bucket.owner) : Json(nullptr)},
                  {"chain", std::move(chain)},
                  {"why", why}};
  return json.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

}  // namespace gaugevalve::control
