#include "gaugevalve/settings/effective_settings.h"

#include <algorithm>
#include <stdexcept>

#include "field_resolver.h"

namespace gaugevalve::settings {
namespace {

EndpointSettings MakeEndpoint(const FieldResolver& values, const Branch& service,
                              const Branch& region, const Branch& zone, const Branch& endpoint) {
  EndpointSettings result;
  result.service = service.name;
  result.name = endpoint.name;
  result.region = region.name;
  result.zone = zone.name;
  result.state = static_cast<AdministrativeState>(values.ChoiceIndex(FieldId::kState));
  result.weight = values.Integer(FieldId::kWeight);
  result.priority = values.Integer(FieldId::kPriority);
  result.slots = values.Integer(FieldId::kSlots);
  result.connections = values.Integer(FieldId::kConnections);
  result.queue_length = values.Integer(FieldId::kQueueLength);
  result.request_deadline = values.Time(FieldId::kRequestDeadline);
  result.drain_timeout = values.Time(FieldId::kDrainTimeout);
  result.idle_timeout = values.Time(FieldId::kIdleTimeout);
  result.new_flows_per_source = values.Integer(FieldId::kNewFlowsPerSource);
  result.cold_start_ramp = values.Time(FieldId::kColdStartRamp);
  result.brownout_enter = values.Ratio(FieldId::kBrownoutEnter);
  result.brownout_leave = values.Ratio(FieldId::kBrownoutLeave);
  result.idempotency_window = values.Time(FieldId::kIdempotencyWindow);
  result.hand_over = static_cast<HandOverSwitch>(values.ChoiceIndex(FieldId::kHandOver));
  result.origins = values.Origins();
  const ZoneNames& draining = values.Zones(FieldId::kDrainingZones);
  const ZoneName here{region.name, zone.name};
  if (std::binary_search(draining.begin(), draining.end(), here)) {
    result.state = AdministrativeState::kDraining;
    result.origins[static_cast<std::size_t>(FieldId::kState)] =
        values.Origins()[static_cast<std::size_t>(FieldId::kDrainingZones)];
  }
  return result;
}

// Returns the values in force at `branch`, a child of the place that `parent` describes.
FieldResolver Below(const FieldResolver& parent, const Branch& branch) {
  FieldResolver values = parent;
  values.Enter(branch);
  return values;
}

void AppendEndpoints(const FieldResolver& service_values, const Branch& service,
                     std::vector<EndpointSettings>& endpoints) {
  for (const auto& [region_name, region] : service.children) {
    const FieldResolver region_values = Below(service_values, region);
    for (const auto& [zone_name, zone] : region.children) {
      const FieldResolver zone_values = Below(region_values, zone);
      for (const auto& [endpoint_name, endpoint] : zone.children) {
        endpoints.push_back(
            MakeEndpoint(Below(zone_values, endpoint), service, region, zone, endpoint));
      }
    }
  }
}

}  // namespace

std::string EndpointSettings::DescribeOrigin(FieldId id) const {
  const FieldOrigin origin = OriginOf(id);
  if (origin.is_default) {
    return "built-in default";
  }
  if (origin.level == Level::kRoot) {
    return "from the root";
  }
  const std::string level(LevelName(origin.level));
  return "from " + level + " " + NameAt(origin.level);
}

std::string EndpointSettings::NameAt(Level level) const {
  switch (level) {
    case Level::kRoot:
      return "";
    case Level::kService:
      return service;
    case Level::kRegion:
      return region;
    case Level::kZone:
      return zone;
    case Level::kEndpoint:
      return name;
  }
  return "";
}

FieldValue EndpointSettings::ValueOf(FieldId id) const {
  switch (id) {
    case FieldId::kState:
      return Choice{static_cast<std::uint8_t>(state)};
    case FieldId::kWeight:
      return std::int64_t{weight};
    case FieldId::kPriority:
      return std::int64_t{priority};
    case FieldId::kSlots:
      return std::int64_t{slots};
    case FieldId::kConnections:
      return std::int64_t{connections};
    case FieldId::kQueueLength:
      return std::int64_t{queue_length};
    case FieldId::kRequestDeadline:
      return request_deadline;
    case FieldId::kDrainTimeout:
      return drain_timeout;
    case FieldId::kIdleTimeout:
      return idle_timeout;
    case FieldId::kNewFlowsPerSource:
      return std::int64_t{new_flows_per_source};
    case FieldId::kColdStartRamp:
      return cold_start_ramp;
    case FieldId::kBrownoutEnter:
      return brownout_enter;
    case FieldId::kBrownoutLeave:
      return brownout_leave;
    case FieldId::kIdempotencyWindow:
      return idempotency_window;
    case FieldId::kHandOver:
      return Choice{static_cast<std::uint8_t>(hand_over)};
    case FieldId::kKind:
    case FieldId::kVirtualAddress:
    case FieldId::kBucketCount:
    case FieldId::kDrainingZones:
      break;
  }
  throw std::invalid_argument("an endpoint has no " + std::string(SchemaOf(id).name));
}

const EndpointSettings* ServiceSettings::FindEndpoint(std::string_view endpoint_name) const {
  const auto match = [endpoint_name](const EndpointSettings& endpoint) {
    return endpoint.name == endpoint_name;
  };
  const auto found = std::find_if(endpoints.begin(), endpoints.end(), match);
  return found == endpoints.end() ? nullptr : &*found;
}

const ServiceSettings* EffectiveSettings::FindService(std::string_view service_name) const {
  const auto match = [service_name](const ServiceSettings& service) {
    return service.name == service_name;
  };
  const auto found = std::find_if(services.begin(), services.end(), match);
  return found == services.end() ? nullptr : &*found;
}

EffectiveSettings Resolve(const SettingsTree& tree) {
  FieldResolver root_values;
  root_values.Enter(tree.root);
  EffectiveSettings result;
  for (const auto& [name, service] : tree.root.children) {
    const FieldResolver values = Below(root_values, service);
    ServiceSettings settings;
    settings.id = base::MakeServiceId(name);
    settings.name = name;
    settings.kind = static_cast<ServiceKind>(values.ChoiceIndex(FieldId::kKind));
    settings.virtual_address = values.Address(FieldId::kVirtualAddress);
    settings.bucket_count = values.Integer(FieldId::kBucketCount);
    AppendEndpoints(values, service, settings.endpoints);
    result.services.push_back(std::move(settings));
  }
  return result;
}

}  // namespace gaugevalve::settings
