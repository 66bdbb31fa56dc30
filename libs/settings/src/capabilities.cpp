#include "gaugevalve/settings/capabilities.h"

#include <nlohmann/json.hpp>

#include "json_reader.h"

namespace gaugevalve::settings {
namespace {

constexpr std::uint64_t kFormatVersion = 1;

}  // namespace

std::string FormatCapabilities(const Capabilities& capabilities) {
  nlohmann::ordered_json json;
  json["format_version"] = kFormatVersion;
  json["schema_version"] = capabilities.schema_version;
  return json.dump();
}

Capabilities ParseCapabilities(std::string_view text) {
  JsonReader reader(text, "store: capabilities");
  reader.ExpectFormatVersion(kFormatVersion);
  reader.ThrowIfAny();
  Capabilities capabilities;
  capabilities.schema_version = static_cast<std::uint32_t>(reader.Number("schema_version"));
  reader.ThrowIfAny();
  return capabilities;
}

}  // namespace gaugevalve::settings
