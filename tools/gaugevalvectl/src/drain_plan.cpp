#include "drain_plan.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include "gaugevalve/base/finding.h"
#include "gaugevalve/settings/effective_settings.h"

namespace gaugevalve::ctl {
namespace {

using settings::EndpointSettings;
using settings::FieldId;
using settings::SettingsTree;
using settings::TreeOperation;
using settings::TreePath;
using settings::ZoneName;

[[noreturn]] void Refuse(const std::string& target, std::string message) {
  throw base::FindingsError({{{"target", 0, 0, target}, std::move(message)}});
}

// What a target may mean.
struct Candidates {
  std::vector<TreePath> endpoints;
  std::set<ZoneName> zones;
};

bool Names(const std::string& target, const std::string& outer, const std::string& inner) {
  return target == inner || target == outer + "/" + inner;
}

Candidates FindCandidates(const SettingsTree& tree, const std::string& target) {
  Candidates found;
  for (const settings::ServiceSettings& service : settings::Resolve(tree).services) {
    for (const EndpointSettings& endpoint : service.endpoints) {
      if (Names(target, service.name, endpoint.name)) {
        found.endpoints.push_back(
            {{service.name, endpoint.region, endpoint.zone, endpoint.name}, std::nullopt});
      }
      if (Names(target, endpoint.region, endpoint.zone)) {
        found.zones.insert({endpoint.region, endpoint.zone});
      }
    }
  }
  return found;
}

[[noreturn]] void RefuseAmbiguous(const std::string& target, const Candidates& candidates) {
  std::string list;
  for (const TreePath& path : candidates.endpoints) {
    list += " endpoint " + path.names.front() + "/" + path.names.back();
  }
  for (const ZoneName& zone : candidates.zones) {
    list += " zone " + zone.ToString();
  }
  Refuse(target, "may mean:" + list);
}

settings::ZoneNames DrainingZones(const SettingsTree& tree) {
  const auto found = tree.root.fields.find(FieldId::kDrainingZones);
  return found == tree.root.fields.end() ? settings::ZoneNames{}
                                         : std::get<settings::ZoneNames>(found->second.value);
}

TreeOperation SetField(TreePath path, FieldId id, const settings::FieldValue& value) {
  path.field = id;
  return settings::SetOperation{path, settings::FormatFieldValue(settings::SchemaOf(id), value)};
}

TreeOperation PlanZone(const SettingsTree& tree, const ZoneName& zone, DrainWish wish) {
  settings::ZoneNames zones = DrainingZones(tree);
  const auto place = std::lower_bound(zones.begin(), zones.end(), zone);
  const bool is_draining = place != zones.end() && *place == zone;
  if (is_draining == (wish == DrainWish::kDrain)) {
    Refuse(zone.ToString(), is_draining ? "is draining already" : "isn't draining");
  }
  if (is_draining) {
    zones.erase(place);
  } else {
    zones.insert(place, zone);
  }
  if (zones.empty()) {
    return settings::UnsetOperation{TreePath{}.Field(FieldId::kDrainingZones)};
  }
  return SetField({}, FieldId::kDrainingZones, zones);
}

TreeOperation PlanEndpoint(const SettingsTree& tree, const TreePath& path, DrainWish wish) {
  const settings::EffectiveSettings effective = settings::Resolve(tree);
  const EndpointSettings& endpoint =
      *effective.FindService(path.names.front())->FindEndpoint(path.names.back());
  const settings::FieldOrigin origin = endpoint.OriginOf(FieldId::kState);
  const bool is_draining = endpoint.state == settings::AdministrativeState::kDraining;
  if (is_draining == (wish == DrainWish::kDrain)) {
    Refuse(path.ToString(), is_draining
                                ? "is draining already, " + endpoint.DescribeOrigin(FieldId::kState)
                                : "isn't draining");
  }
  const bool is_set_here = !origin.is_default && origin.level == settings::Level::kEndpoint;
  if (is_draining && !is_set_here) {
    Refuse(path.ToString(),
           "drains " + endpoint.DescribeOrigin(FieldId::kState) + "; undrain it there");
  }
  if (is_draining) {
    return settings::UnsetOperation{path.Field(FieldId::kState)};
  }
  const auto draining = static_cast<std::uint8_t>(settings::AdministrativeState::kDraining);
  return SetField(path, FieldId::kState, settings::Choice{draining});
}

}  // namespace

std::vector<TreeOperation> PlanDrain(const SettingsTree& tree, const std::string& target,
                                     DrainWish wish) {
  const Candidates candidates = FindCandidates(tree, target);
  const std::size_t count = candidates.endpoints.size() + candidates.zones.size();
  if (count == 0) {
    Refuse(target, "is neither an endpoint nor a zone of the tree");
  }
  if (count > 1) {
    RefuseAmbiguous(target, candidates);
  }
  if (candidates.endpoints.empty()) {
    return {PlanZone(tree, *candidates.zones.begin(), wish)};
  }
  return {PlanEndpoint(tree, candidates.endpoints.front(), wish)};
}

}  // namespace gaugevalve::ctl
