// The small closed choices of the settings tree, as types.
#pragma once

#include <cstdint>
#include <string_view>

namespace gaugevalve::settings {

// What a service's datagrams are. The numbers are the positions in the schema's list of choices.
enum class ServiceKind : std::uint8_t {
  kDatagram = 0,  // opaque; a flow is a source address and port
  kHttp3 = 1,     // QUIC; a flow is a connection ID
};

// Whether operators want an endpoint to take new work.
enum class AdministrativeState : std::uint8_t {
  kServing = 0,
  kDraining = 1,  // keeps its flows and requests in progress, takes nothing new
};

// Whether agents let other endpoints of the service run what theirs can't run soon.
enum class HandOverSwitch : std::uint8_t {
  kOn = 0,
  kOff = 1,
};

// Returns the name used in settings: "datagram" or "http3".
std::string_view ServiceKindName(ServiceKind kind);

// Returns the name used in settings: "serving" or "draining".
std::string_view AdministrativeStateName(AdministrativeState state);

}  // namespace gaugevalve::settings
