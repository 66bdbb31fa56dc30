// The value of one field of the settings tree.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/base/time.h"

namespace gaugevalve::settings {

struct FieldSchema;

// One of a field's listed choices, by its position in the schema's list.
struct Choice {
  std::uint8_t index = 0;

  friend auto operator<=>(const Choice&, const Choice&) = default;
};

// A zone by its region and name; a zone of this name may be in many services.
struct ZoneName {
  std::string region;
  std::string zone;

  // Returns the zone in "region/zone", or nothing.
  static std::optional<ZoneName> Parse(std::string_view text);

  // Returns the text that Parse() reads.
  std::string ToString() const { return region + "/" + zone; }

  friend auto operator<=>(const ZoneName&, const ZoneName&) = default;
};

// Sorted and without repetition.
using ZoneNames = std::vector<ZoneName>;

// A value whose alternative follows from the field's type: a number, a ratio in [0, 1], a duration,
// an address, a choice or a list of zones.
using FieldValue =
    std::variant<std::int64_t, double, base::Duration, base::SocketAddress, Choice, ZoneNames>;

// A value, or in words why the text is none.
struct FieldParseResult {
  std::optional<FieldValue> value;
  std::string fault;  // empty when there is a value
};

// Returns the value in `text` when it has the schema's type and lies in its range.
FieldParseResult ParseFieldValue(const FieldSchema& schema, const std::string& text);

// Returns the one canonical text of a value, which ParseFieldValue() reads back to it.
std::string FormatFieldValue(const FieldSchema& schema, const FieldValue& value);

}  // namespace gaugevalve::settings
