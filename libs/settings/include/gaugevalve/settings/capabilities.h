// What the balancers in service can apply. The coordinator keeps it in the store.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace gaugevalve::settings {

// The least that any balancer in service supports. An edit that needs more is refused.
struct Capabilities {
  std::uint32_t schema_version = 0;  // newest settings schema that all of them understand

  friend bool operator==(const Capabilities&, const Capabilities&) = default;
};

// Returns the JSON text, with a format version.
std::string FormatCapabilities(const Capabilities& capabilities);

// Returns the capabilities in the JSON text. Throws base::FindingsError.
Capabilities ParseCapabilities(std::string_view text);

}  // namespace gaugevalve::settings
