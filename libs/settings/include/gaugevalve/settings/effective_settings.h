// What is in force at each endpoint once inheritance is worked out, and where each value came from.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/settings/field_schema.h"
#include "gaugevalve/settings/service_kind.h"
#include "gaugevalve/settings/settings_tree.h"

namespace gaugevalve::settings {

// The branch that gave a value.
struct FieldOrigin {
  bool is_default = true;      // no branch set it
  Level level = Level::kRoot;  // meaningful unless is_default

  friend bool operator==(const FieldOrigin&, const FieldOrigin&) = default;
};

// The typed values that an endpoint's agent and its service's planner go by.
struct EndpointSettings {
  std::string service;
  std::string region;
  std::string zone;
  std::string name;
  AdministrativeState state = AdministrativeState::kServing;
  std::uint32_t weight = 0;
  std::uint32_t priority = 0;
  std::uint32_t slots = 0;        // requests at once
  std::uint32_t connections = 0;  // flows at once
  std::uint32_t queue_length = 0;
  base::Duration request_deadline{0};
  base::Duration drain_timeout{0};
  base::Duration idle_timeout{0};
  std::uint32_t new_flows_per_source = 0;  // per second; 0 is "no limit"
  base::Duration cold_start_ramp{0};
  double brownout_enter = 0;  // share of slots and queue, in [0, 1]
  double brownout_leave = 0;  // share of slots and queue, in [0, 1]
  base::Duration idempotency_window{0};
  HandOverSwitch hand_over = HandOverSwitch::kOn;
  std::array<FieldOrigin, kFieldCount> origins;  // indexed by FieldId

  // Returns where the value of an inherited field came from.
  FieldOrigin OriginOf(FieldId id) const { return origins[static_cast<std::size_t>(id)]; }

  // Returns the origin in words: "built-in default", "from the root" or "from zone east".
  std::string DescribeOrigin(FieldId id) const;

  // Returns the name of the branch of this level that the endpoint lies in; empty for the root.
  std::string NameAt(Level level) const;

  // Returns the value of an inherited field. Throws std::invalid_argument for another field.
  FieldValue ValueOf(FieldId id) const;

  friend bool operator==(const EndpointSettings&, const EndpointSettings&) = default;
};

// A service with all its endpoints.
struct ServiceSettings {
  base::ServiceId id;
  std::string name;
  ServiceKind kind = ServiceKind::kDatagram;
  base::SocketAddress virtual_address;
  std::uint32_t bucket_count = 0;
  std::vector<EndpointSettings> endpoints;  // sorted by region, zone, name

  // Returns the endpoint with this name, or null. Names are unique within a service.
  const EndpointSettings* FindEndpoint(std::string_view endpoint_name) const;

  friend bool operator==(const ServiceSettings&, const ServiceSettings&) = default;
};

// The whole tree with inheritance worked out.
struct EffectiveSettings {
  std::vector<ServiceSettings> services;  // sorted by name

  // Returns the service with this name, or null.
  const ServiceSettings* FindService(std::string_view service_name) const;

  friend bool operator==(const EffectiveSettings&, const EffectiveSettings&) = default;
};

// Returns the effective settings. The tree must have no findings (CheckTree()).
EffectiveSettings Resolve(const SettingsTree& tree);

}  // namespace gaugevalve::settings
