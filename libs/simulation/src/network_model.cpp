#include "gaugevalve/simulation/network_model.h"

#include <utility>

namespace gaugevalve::simulation {
namespace {

constexpr int kNodeIndexBits = 32;

std::uint64_t PairKey(NodeIndex from, NodeIndex to) {
  return (std::uint64_t{from.value()} << kNodeIndexBits) | to.value();
}

base::Duration ProfileLatency(const LatencyProfile& latencies, const ZoneDescription& first,
                              const ZoneDescription& second) {
  if (first.region != second.region) {
    return latencies.between_regions;
  }
  return first.name == second.name ? latencies.within_zone : latencies.between_zones;
}

}  // namespace

NetworkModel::NetworkModel(std::vector<ZoneDescription> zones, const LatencyProfile& latencies)
    : zones_(std::move(zones)) {
  blocked_.resize(zones_.size() * zones_.size());
  for (const ZoneDescription& from : zones_) {
    for (const ZoneDescription& to : zones_) {
      latencies_.push_back(ProfileLatency(latencies, from, to));
    }
  }
}

void NetworkModel::SetLatency(ZoneIndex first, ZoneIndex second, base::Duration one_way) {
  latencies_.at(Slot(first, second)) = one_way;
  latencies_.at(Slot(second, first)) = one_way;
}

base::Duration NetworkModel::Latency(ZoneIndex from, ZoneIndex to) const {
  return latencies_.at(Slot(from, to));
}

void NetworkModel::BlockOneWay(ZoneIndex from, ZoneIndex to) { blocked_.at(Slot(from, to)) = true; }

void NetworkModel::BlockZones(ZoneIndex first, ZoneIndex second) {
  BlockOneWay(first, second);
  BlockOneWay(second, first);
}

void NetworkModel::BlockRegions(const std::string& first, const std::string& second) {
  const std::vector<ZoneIndex> first_zones = ZonesOf(first);
  const std::vector<ZoneIndex> second_zones = ZonesOf(second);
  for (const ZoneIndex from : first_zones) {
    for (const ZoneIndex to : second_zones) {
      BlockZones(from, to);
    }
  }
}

void NetworkModel::BlockNodes(NodeIndex from, NodeIndex to) {
  blocked_node_pairs_.insert(PairKey(from, to));
}

void NetworkModel::IsolateNode(NodeIndex node) { isolated_nodes_.insert(node); }

void NetworkModel::ReconnectNode(NodeIndex node) { isolated_nodes_.erase(node); }

void NetworkModel::HealPartitions() {
  blocked_.assign(blocked_.size(), false);
  blocked_node_pairs_.clear();
  isolated_nodes_.clear();
}

NetworkModel::Deliveries NetworkModel::Plan(NodeIndex from, ZoneIndex from_zone, NodeIndex to,
                                            ZoneIndex to_zone, base::RandomSource& random) const {
  Deliveries deliveries;
  if (IsBlocked(from, from_zone, to, to_zone)) {
    return deliveries;
  }
  if (faults_.loss > 0 && random.NextUnit() < faults_.loss) {
    return deliveries;
  }
  deliveries.push_back(DrawLatency(from_zone, to_zone, random));
  if (faults_.duplication > 0 && random.NextUnit() < faults_.duplication) {
    deliveries.push_back(DrawLatency(from_zone, to_zone, random));
  }
  return deliveries;
}

std::vector<ZoneIndex> NetworkModel::ZonesOf(const std::string& region) const {
  std::vector<ZoneIndex> found;
  for (std::size_t index = 0; index < zones_.size(); ++index) {
    if (zones_[index].region == region) {
      found.emplace_back(static_cast<std::uint16_t>(index));
    }
  }
  return found;
}

std::size_t NetworkModel::Slot(ZoneIndex from, ZoneIndex to) const {
  return from.value() * zones_.size() + to.value();
}

bool NetworkModel::IsBlocked(NodeIndex from, ZoneIndex from_zone, NodeIndex to,
                             ZoneIndex to_zone) const {
  if (blocked_.at(Slot(from_zone, to_zone))) {
    return true;
  }
  if (!isolated_nodes_.empty() && from != to &&
      (isolated_nodes_.contains(from) || isolated_nodes_.contains(to))) {
    return true;
  }
  return !blocked_node_pairs_.empty() && blocked_node_pairs_.contains(PairKey(from, to));
}

base::Duration NetworkModel::DrawLatency(ZoneIndex from, ZoneIndex to,
                                         base::RandomSource& random) const {
  const base::Duration latency = Latency(from, to);
  const double jitter = static_cast<double>(latency.count()) * faults_.jitter * random.NextUnit();
  base::Duration drawn = latency + base::Duration(static_cast<base::Duration::rep>(jitter));
  if (faults_.reordering > 0 && random.NextUnit() < faults_.reordering) {
    drawn += random.NextJitter(faults_.reordering_delay);
  }
  return drawn;
}

}  // namespace gaugevalve::simulation
