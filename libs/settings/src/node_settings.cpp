#include "gaugevalve/settings/node_settings.h"

#include <algorithm>
#include <array>
#include <set>
#include <span>
#include <utility>

#include "gaugevalve/settings/field_schema.h"
#include "node_keys.h"
#include "yaml_reader.h"

namespace gaugevalve::settings {
namespace {

// Gives one mapping's values by key, and reports what is unknown, missing or malformed.
class Section {
 public:
  Section(YamlReader& reader, const YAML::Node& node, base::SourcePlace place,
          std::span<const NodeKey> known)
      : reader_(reader), place_(std::move(place)) {
    entries_ = reader_.Entries(node, place_);
    std::vector<std::string_view> names;
    for (const NodeKey& key : known) {
      names.push_back(key.name);
    }
    for (const YamlEntry& entry : entries_) {
      if (std::find(names.begin(), names.end(), entry.key) == names.end()) {
        reader_.AddUnknownKey(entry, names);
      }
    }
  }

  // Returns the entry or null.
  const YamlEntry* Find(std::string_view key) const {
    const auto match = [key](const YamlEntry& entry) { return entry.key == key; };
    const auto found = std::find_if(entries_.begin(), entries_.end(), match);
    return found == entries_.end() ? nullptr : &*found;
  }

  const YamlEntry* Require(std::string_view key) const {
    const YamlEntry* entry = Find(key);
    if (entry == nullptr) {
      reader_.Add(place_, "key '" + std::string(key) + "' is missing");
    }
    return entry;
  }

  // Returns a name, checked for the characters that paths and logs need to be unambiguous.
  std::string RequireName(std::string_view key) const {
    const YamlEntry* entry = Require(key);
    const std::optional<std::string> text = entry ? reader_.Scalar(*entry) : std::nullopt;
    if (text && !IsValidName(*text)) {
      reader_.Add(entry->place, DescribeNameRule(*text));
    }
    return text.value_or("");
  }

  std::string OptionalText(std::string_view key) const {
    const YamlEntry* entry = Find(key);
    return entry ? reader_.Scalar(*entry).value_or("") : "";
  }

  base::SocketAddress RequireAddress(std::string_view key) const {
    const YamlEntry* entry = Require(key);
    const auto address = entry ? reader_.Address(*entry) : std::nullopt;
    return address.value_or(base::SocketAddress{});
  }

  // Returns an address that is told to peers, so it can't be the wildcard.
  base::SocketAddress RequireReachableAddress(std::string_view key) const {
    const base::SocketAddress address = RequireAddress(key);
    const YamlEntry* entry = Find(key);
    constexpr std::array<std::uint8_t, 16> kWildcard{};
    if (entry != nullptr && address.address == kWildcard &&
        base::SocketAddress::Parse(entry->value.IsScalar() ? entry->value.Scalar() : "")) {
      reader_.Add(entry->place, "must be an address that peers can reach, not the wildcard");
    }
    return address;
  }

  std::optional<base::SocketAddress> OptionalAddress(std::string_view key) const {
    const YamlEntry* entry = Find(key);
    return entry ? reader_.Address(*entry) : std::nullopt;
  }

  std::vector<base::SocketAddress> Addresses(std::string_view key) const {
    std::vector<base::SocketAddress> addresses;
    const YamlEntry* entry = Find(key);
    if (entry == nullptr) {
      return addresses;
    }
    for (const YamlEntry& item : reader_.Items(*entry)) {
      if (const auto address = reader_.Address(item)) {
        addresses.push_back(*address);
      }
    }
    return addresses;
  }

  // Returns the value of a field of the tree's schema, held to that schema's type and range.
  std::optional<FieldValue> RequireField(FieldId id) const {
    const FieldSchema& schema = SchemaOf(id);
    const YamlEntry* entry = Require(schema.name);
    const std::optional<std::string> text = entry ? reader_.Scalar(*entry) : std::nullopt;
    if (!text) {
      return std::nullopt;
    }
    FieldParseResult parsed = ParseFieldValue(schema, *text);
    if (!parsed.value) {
      reader_.Add(entry->place, parsed.fault);
    }
    return parsed.value;
  }

  const base::SourcePlace& place() const {  // NOLINT(readability-identifier-naming)
    return place_;
  }

 private:
  YamlReader& reader_;
  base::SourcePlace place_;
  std::vector<YamlEntry> entries_;
};

AgentSettings ReadAgent(YamlReader& reader, const YamlEntry& entry) {
  const Section section(reader, entry.value, entry.place, AgentKeys());
  AgentSettings agent;
  agent.service = section.RequireName("service");
  agent.endpoint = section.RequireName("endpoint");
  agent.datagram_address = section.OptionalAddress("datagram_address");
  agent.http_address = section.OptionalAddress("http_address");
  agent.certificate_file = section.OptionalText("certificate_file");
  agent.key_file = section.OptionalText("key_file");
  if (!agent.datagram_address && !agent.http_address) {
    reader.Add(section.place(), "needs datagram_address or http_address: where the endpoint is");
  }
  if (agent.certificate_file.empty() != agent.key_file.empty()) {
    reader.Add(section.place(), "certificate_file and key_file are given together or not at all");
  }
  return agent;
}

StaticService ReadStaticService(YamlReader& reader, const YamlEntry& item) {
  const Section section(reader, item.value, item.place, StaticServiceKeys());
  StaticService service;
  service.name = section.RequireName("name");
  if (const auto kind = section.RequireField(FieldId::kKind)) {
    service.kind = static_cast<ServiceKind>(std::get<Choice>(*kind).index);
  }
  service.virtual_address = section.RequireAddress("virtual_address");
  if (const auto count = section.RequireField(FieldId::kBucketCount)) {
    service.bucket_count = static_cast<std::uint32_t>(std::get<std::int64_t>(*count));
  }
  return service;
}

StaticAgent ReadStaticAgent(YamlReader& reader, const YamlEntry& item,
                            const std::vector<StaticService>& services) {
  const Section section(reader, item.value, item.place, StaticAgentKeys());
  StaticAgent agent;
  agent.node = section.RequireName("node");
  agent.service = section.RequireName("service");
  agent.zone = section.RequireName("zone");
  agent.data_address = section.RequireReachableAddress("data_address");
  const auto match = [&agent](const StaticService& service) {
    return service.name == agent.service;
  };
  if (!agent.service.empty() && std::none_of(services.begin(), services.end(), match)) {
    reader.Add(section.Find("service")->place,
               "no service '" + agent.service + "' in static.services");
  }
  return agent;
}

// Reports the items whose key, as given by `key_of`, was already used by an earlier one.
template <class Item, class KeyOf>
void CheckUnique(YamlReader& reader, const YamlEntry& list, const std::vector<Item>& items,
                 std::string_view what, KeyOf key_of) {
  std::set<std::string> seen;
  for (const Item& item : items) {
    const std::string key = key_of(item);
    if (!key.empty() && !seen.insert(key).second) {
      reader.Add(list.place, std::string(what) + " '" + key + "' is used twice");
    }
  }
}

StaticSettings ReadStatic(YamlReader& reader, const YamlEntry& entry) {
  const Section section(reader, entry.value, entry.place, StaticKeys());
  StaticSettings result;
  if (const YamlEntry* list = section.Require("services")) {
    for (const YamlEntry& item : reader.Items(*list)) {
      result.services.push_back(ReadStaticService(reader, item));
    }
    CheckUnique(reader, *list, result.services, "service name",
                [](const StaticService& service) { return service.name; });
    CheckUnique(reader, *list, result.services, "virtual address",
                [](const StaticService& service) { return service.virtual_address.ToString(); });
  }
  if (const YamlEntry* list = section.Find("agents")) {
    for (const YamlEntry& item : reader.Items(*list)) {
      result.agents.push_back(ReadStaticAgent(reader, item, result.services));
    }
    CheckUnique(reader, *list, result.agents, "node name",
                [](const StaticAgent& agent) { return agent.node; });
  }
  return result;
}

void ReadRole(YamlReader& reader, const Section& section, NodeSettings& settings) {
  const YamlEntry* entry = section.Require("role");
  const std::optional<std::string> text = entry ? reader.Scalar(*entry) : std::nullopt;
  if (!text) {
    return;
  }
  if (*text == NodeRoleName(NodeRole::kAgent)) {
    settings.role = NodeRole::kAgent;
  } else if (*text != NodeRoleName(NodeRole::kBalancer)) {
    reader.Add(entry->place, "'" + *text + "' is neither 'balancer' nor 'agent'");
    return;
  }
  const bool has_agent = section.Find("agent") != nullptr;
  if (settings.role == NodeRole::kAgent && !has_agent) {
    reader.Add(section.place(), "key 'agent' is missing: role agent needs it");
  }
  if (settings.role == NodeRole::kBalancer && has_agent) {
    reader.Add(section.Find("agent")->place, "is only for role agent");
  }
  if (settings.role == NodeRole::kAgent && section.Find("egress_address") == nullptr) {
    reader.Add(section.place(), "key 'egress_address' is missing: role agent needs it");
  }
}

}  // namespace

std::string_view NodeRoleName(NodeRole role) {
  return role == NodeRole::kBalancer ? "balancer" : "agent";
}

NodeSettings ParseNodeSettings(const std::string& text, const std::string& file_name) {
  YamlReader reader(file_name);
  const std::optional<YAML::Node> document = reader.Load(text);
  reader.ThrowIfAny();

  const Section section(reader, *document, reader.PlaceOf(*document, ""), NodeKeys());
  NodeSettings settings;
  settings.name = section.RequireName("name");
  ReadRole(reader, section, settings);
  settings.region = section.RequireName("region");
  settings.zone = section.RequireName("zone");
  settings.data_address = section.RequireReachableAddress("data_address");
  settings.control_address = section.RequireReachableAddress("control_address");
  settings.admin_address = section.RequireAddress("admin_address");
  settings.seed_peers = section.Addresses("seed_peers");
  settings.store_endpoints = section.Addresses("store_endpoints");
  settings.egress_address = section.OptionalAddress("egress_address");
  settings.connection_id_key_file = section.OptionalText("connection_id_key_file");
  if (const YamlEntry* agent = section.Find("agent")) {
    settings.agent = ReadAgent(reader, *agent);
  }
  if (const YamlEntry* entry = section.Find("static")) {
    settings.static_settings = ReadStatic(reader, *entry);
  }
  reader.ThrowIfAny();
  return settings;
}

}  // namespace gaugevalve::settings
