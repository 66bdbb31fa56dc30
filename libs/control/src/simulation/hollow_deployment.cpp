#include "gaugevalve/control_simulation/hollow_deployment.h"

#include <algorithm>
#include <utility>

namespace gaugevalve::control_simulation {
namespace {

constexpr std::uint32_t kFirstAddress = 0x0A000001;         // 10.0.0.1
constexpr std::uint32_t kFirstVirtualAddress = 0xC6120001;  // 198.18.0.1
constexpr std::uint16_t kControlPort = 7000;
constexpr std::uint16_t kDataPort = 7001;
constexpr std::uint16_t kServicePort = 443;
constexpr std::uint32_t kDefaultEndpointWeight = 100;

std::string EndpointName(std::size_t service, std::size_t agent) {
  return HollowDeployment::ServiceName(service) + "-" + std::to_string(agent);
}

}  // namespace

std::string HollowDeployment::ServiceName(std::size_t service) {
  return "service-" + std::to_string(service);
}

HollowDeployment::HollowDeployment(simulation::Simulator& simulator,
                                   HollowDeploymentSettings settings)
    : simulator_(simulator),
      settings_(std::move(settings)),
      weights_(settings_.services, kDefaultEndpointWeight) {
  store_.Commit(MakeTree());
  const std::size_t nodes = settings_.balancers + settings_.services * settings_.agents_per_service;
  for (std::size_t node = 0; node < nodes; ++node) {
    entries_.push_back({simulation::NodeIndex(), MakeOptions(node)});
  }
  if (settings_.is_preloaded) {
    Preload();
  }
  const std::size_t zones = simulator_.Network().Zones().size();
  for (std::size_t node = 0; node < nodes; ++node) {
    const simulation::ZoneIndex zone(static_cast<std::uint16_t>(node % zones));
    entries_[node].index =
        simulator_.AddNode({zone, entries_[node].options.metadata.control_address},
                           MakeProcess(node, settings_.is_preloaded));
  }
}

control::ControlNodeOptions HollowDeployment::MakeOptions(std::size_t node) const {
  control::ControlNodeOptions options = settings_.options;
  const std::vector<simulation::ZoneDescription>& zones = simulator_.Network().Zones();
  const simulation::ZoneDescription& zone = zones[node % zones.size()];
  membership::MemberMetadata& metadata = options.metadata;
  const std::uint32_t address = kFirstAddress + static_cast<std::uint32_t>(node);
  metadata.region = zone.region;
  metadata.zone = zone.name;
  metadata.control_address = base::SocketAddress::Ipv4(address, kControlPort);
  metadata.data_address = base::SocketAddress::Ipv4(address, kDataPort);
  metadata.process_incarnation = base::Incarnation(1);
  if (node < settings_.balancers) {
    metadata.role = membership::Role::kBalancer;
    options.name = "balancer-" + std::to_string(node);
  } else {
    const std::size_t agent = node - settings_.balancers;
    const std::size_t service = agent % settings_.services;
    metadata.role = membership::Role::kAgent;
    metadata.service = base::MakeServiceId(ServiceName(service));
    metadata.endpoint_name = EndpointName(service, agent / settings_.services);
    options.service_name = ServiceName(service);
    options.name = "agent-" + metadata.endpoint_name;
  }
  const std::size_t seeds = std::min(zones.size(), settings_.balancers);
  for (std::size_t seed = 0; seed < seeds; ++seed) {
    options.membership.seeds.push_back(
        base::SocketAddress::Ipv4(kFirstAddress + static_cast<std::uint32_t>(seed), kControlPort));
  }
  return options;
}

settings::SettingsTree HollowDeployment::MakeTree() const {
  const std::vector<simulation::ZoneDescription>& zones = simulator_.Network().Zones();
  std::string text = "version: 1\nservices:\n";
  for (std::size_t service = 0; service < settings_.services; ++service) {
    const base::SocketAddress address = base::SocketAddress::Ipv4(
        kFirstVirtualAddress + static_cast<std::uint32_t>(service), kServicePort);
    text += "  " + ServiceName(service) +
            ":\n    kind: datagram\n    virtual_address: " + address.ToString() +
            "\n    bucket_count: " + std::to_string(settings_.buckets_per_service) +
            "\n    weight: " + std::to_string(weights_[service]) + "\n    regions:\n      " +
            zones[0].region + ":\n        zones:\n          " + zones[0].name +
            ":\n            endpoints: {";
    for (std::size_t agent = 0; agent < settings_.agents_per_service; ++agent) {
      text += (agent == 0 ? "" : ", ") + EndpointName(service, agent) + ": {}";
    }
    text += "}\n";
  }
  return settings::ParseTree(text, "simulation");
}

void HollowDeployment::Preload() {
  std::vector<membership::Member> members;
  for (const Entry& entry : entries_) {
    membership::Member member;
    member.node = base::MakeNodeId(entry.options.name);
    member.incarnation = entry.options.metadata.process_incarnation;
    member.metadata_version = entry.options.metadata.process_incarnation;
    member.metadata = std::make_shared<const membership::MemberMetadata>(entry.options.metadata);
    members.push_back(std::move(member));
  }
  preload_ = std::make_shared<const std::vector<membership::Member>>(std::move(members));
}

std::unique_ptr<HollowNode> HollowDeployment::MakeProcess(std::size_t node, bool is_preloaded) {
  return std::make_unique<HollowNode>(HollowNodeSettings{entries_[node].options,
                                                         is_preloaded ? preload_ : nullptr, &store_,
                                                         settings_.measures_processor_time});
}

bool HollowDeployment::IsRunning(std::size_t node) const {
  return simulator_.State(entries_[node].index) == simulation::NodeState::kRunning;
}

const HollowNode& HollowDeployment::Process(std::size_t node) const {
  return dynamic_cast<const HollowNode&>(*simulator_.Find(entries_[node].index));
}

void HollowDeployment::Kill(std::size_t node) { simulator_.Kill(entries_[node].index); }

void HollowDeployment::Restart(std::size_t node) {
  base::Incarnation& incarnation = entries_[node].options.metadata.process_incarnation;
  // Like a daemon, the node derives its incarnation from its start time in microseconds. Simulated
  // time starts at zero.
  const auto started = simulator_.Now().time_since_epoch().count();
  incarnation =
      base::Incarnation(std::max(incarnation.value() + 1, static_cast<std::uint64_t>(started)));
  simulator_.Restart(entries_[node].index, MakeProcess(node, false));
}

base::Revision HollowDeployment::Edit(std::size_t service, std::uint32_t weight) {
  weights_[service] = weight;
  return store_.Commit(MakeTree());
}

bool HollowDeployment::IsInForceEverywhere(base::Revision revision) const {
  for (std::size_t node = 0; node < settings_.balancers; ++node) {
    if (IsRunning(node) && Process(node).Core().Settings().Active().revision != revision) {
      return false;
    }
  }
  return true;
}

bool HollowDeployment::HasOneTable(std::size_t service) const {
  const base::ServiceId id = base::MakeServiceId(ServiceName(service));
  std::shared_ptr<const routing::BucketTable> first;
  for (std::size_t node = 0; node < Size(); ++node) {
    if (!IsRunning(node)) {
      continue;
    }
    const std::shared_ptr<const routing::BucketTable> table = Process(node).Core().TableOf(id);
    if (table == nullptr) {
      if (node < settings_.balancers) {
        return false;
      }
      continue;
    }
    first = first == nullptr ? table : first;
    if (*table != *first) {
      return false;
    }
  }
  return first != nullptr;
}

}  // namespace gaugevalve::control_simulation
