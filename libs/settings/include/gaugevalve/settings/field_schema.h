// The one table of all fields of the settings tree. It drives parsing, checks, hints for misspelt
// keys and the settings reference, so these can't drift apart.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "gaugevalve/settings/field_value.h"

namespace gaugevalve::settings {

// A level of the tree, from the outside in.
enum class Level : std::uint8_t { kRoot = 0, kService, kRegion, kZone, kEndpoint };

inline constexpr std::size_t kLevelCount = 5;

// Returns "root", "service", "region", "zone" or "endpoint".
std::string_view LevelName(Level level);

// Returns the key that holds a level's children ("services", "regions", "zones", "endpoints"), or
// an empty text for endpoints, which have none.
std::string_view ChildrenKey(Level level);

// Every field. The order is that of the schema table and of the canonical export.
enum class FieldId : std::uint8_t {
  kKind = 0,
  kVirtualAddress,
  kBucketCount,
  kState,
  kWeight,
  kPriority,
  kSlots,
  kConnections,
  kQueueLength,
  kRequestDeadline,
  kDrainTimeout,
  kIdleTimeout,
  kNewFlowsPerSource,
  kColdStartRamp,
  kBrownoutEnter,
  kBrownoutLeave,
  kIdempotencyWindow,
  kHandOver,
  kDrainingZones,
};

inline constexpr std::size_t kFieldCount = 19;

// The type of a field's value.
enum class FieldType : std::uint8_t { kInteger, kRatio, kDuration, kAddress, kChoice, kZones };

// Where a field may be set.
enum class FieldScope : std::uint8_t {
  kRootOnly,     // at the root
  kServiceOnly,  // at the service itself
  kInherited,    // at any level; the innermost setting wins
};

// What there is to know of one field.
struct FieldSchema {
  FieldId id;
  std::string_view name;  // key in YAML
  FieldType type;
  FieldScope scope;
  std::int64_t minimum;                       // integers; microseconds for durations
  std::int64_t maximum;                       // integers; microseconds for durations
  std::string_view default_text;              // empty: the field must be given
  std::string_view unit;                      // empty for none
  std::span<const std::string_view> choices;  // for FieldType::kChoice
  bool is_fixed;                              // can't change while the service exists
  std::uint32_t since;                        // schema version that brought it
  std::string_view description;
};

// The newest version of the schema that this release understands.
inline constexpr std::uint32_t kSchemaVersion = 1;

// Returns all fields, indexed by FieldId.
std::span<const FieldSchema> Schema();

// Returns the schema of one field.
const FieldSchema& SchemaOf(FieldId id);

// Returns the field with this name, or null.
const FieldSchema* FindField(std::string_view name);

// Returns whether the field may be set at this level.
bool IsAllowedAt(const FieldSchema& schema, Level level);

// Returns whether the text can name a service, region, zone, endpoint or node: 1 to 63 letters,
// digits, '-' or '_', so that paths, keys and logs stay unambiguous.
bool IsValidName(std::string_view name);

// Returns the rule above in words, for a finding about `name`.
std::string DescribeNameRule(std::string_view name);

}  // namespace gaugevalve::settings
