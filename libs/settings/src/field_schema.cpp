#include "gaugevalve/settings/field_schema.h"

#include <algorithm>
#include <array>

namespace gaugevalve::settings {
namespace {

constexpr std::array<std::string_view, kLevelCount> kLevelNames{"root", "service", "region", "zone",
                                                                "endpoint"};
constexpr std::array<std::string_view, kLevelCount> kChildrenKeys{"services", "regions", "zones",
                                                                  "endpoints", ""};
constexpr std::array<std::string_view, 2> kKinds{"datagram", "http3"};
constexpr std::array<std::string_view, 2> kStates{"serving", "draining"};
constexpr std::array<std::string_view, 2> kSwitch{"on", "off"};

constexpr std::int64_t kMillisecond = 1'000;
constexpr std::int64_t kSecond = 1'000 * kMillisecond;
constexpr std::int64_t kMinute = 60 * kSecond;
constexpr std::int64_t kHour = 60 * kMinute;
constexpr std::size_t kMaxNameLength = 63;

constexpr FieldScope kRoot = FieldScope::kRootOnly;
constexpr FieldScope kService = FieldScope::kServiceOnly;
constexpr FieldScope kInherited = FieldScope::kInherited;
constexpr bool kFixed = true;
constexpr bool kChangeable = false;

constexpr std::array<FieldSchema, kFieldCount> kSchema{{
    {FieldId::kKind, "kind", FieldType::kChoice, kService, 0, 0, "", "", kKinds, kFixed, 1,
     "What the service's datagrams are: opaque datagrams, or QUIC with HTTP/3."},
    {FieldId::kVirtualAddress,
     "virtual_address",
     FieldType::kAddress,
     kService,
     0,
     0,
     "",
     "",
     {},
     kChangeable,
     1,
     "Address and port that callers send to. No two services share one."},
    {FieldId::kBucketCount,
     "bucket_count",
     FieldType::kInteger,
     kService,
     16,
     4096,
     "256",
     "buckets",
     {},
     kFixed,
     1,
     "Size of the service's bucket table: the grain in which flows move between endpoints."},
    {FieldId::kState, "state", FieldType::kChoice, kInherited, 0, 0, "serving", "", kStates,
     kChangeable, 1, "Whether the endpoints take new work; draining ones keep what they have."},
    {FieldId::kWeight,
     "weight",
     FieldType::kInteger,
     kInherited,
     1,
     1000,
     "100",
     "",
     {},
     kChangeable,
     1,
     "Share of new work in proportion to the other endpoints of the service."},
    {FieldId::kPriority,
     "priority",
     FieldType::kInteger,
     kInherited,
     0,
     9,
     "0",
     "",
     {},
     kChangeable,
     1,
     "Endpoints with a higher number get new work only while none with a lower one can take it."},
    {FieldId::kSlots,
     "slots",
     FieldType::kInteger,
     kInherited,
     1,
     10'000,
     "5",
     "requests",
     {},
     kChangeable,
     1,
     "Requests that an endpoint works on at once."},
    {FieldId::kConnections,
     "connections",
     FieldType::kInteger,
     kInherited,
     1,
     1'000'000,
     "2000",
     "flows",
     {},
     kChangeable,
     1,
     "Flows that an endpoint holds at once."},
    {FieldId::kQueueLength,
     "queue_length",
     FieldType::kInteger,
     kInherited,
     0,
     100'000,
     "20",
     "requests",
     {},
     kChangeable,
     1,
     "Requests that wait for a slot; the next one is refused as not run."},
    {FieldId::kRequestDeadline,
     "request_deadline",
     FieldType::kDuration,
     kInherited,
     10 * kMillisecond,
     kHour,
     "10s",
     "",
     {},
     kChangeable,
     1,
     "Time a request may take, its wait included, when the caller gives no deadline."},
    {FieldId::kDrainTimeout,
     "drain_timeout",
     FieldType::kDuration,
     kInherited,
     0,
     24 * kHour,
     "10m",
     "",
     {},
     kChangeable,
     1,
     "Time a stopping agent waits for requests in progress and open flows before it ends."},
    {FieldId::kIdleTimeout,
     "idle_timeout",
     FieldType::kDuration,
     kInherited,
     kSecond,
     24 * kHour,
     "5m",
     "",
     {},
     kChangeable,
     1,
     "Silence after which a flow counts as over."},
    {FieldId::kNewFlowsPerSource,
     "new_flows_per_source",
     FieldType::kInteger,
     kInherited,
     0,
     1'000'000,
     "0",
     "flows a second",
     {},
     kChangeable,
     1,
     "New flows that one source address may open at an agent; 0 sets no limit."},
    {FieldId::kColdStartRamp,
     "cold_start_ramp",
     FieldType::kDuration,
     kInherited,
     0,
     kHour,
     "30s",
     "",
     {},
     kChangeable,
     1,
     "Time over which an endpoint that started grows to its full share."},
    {FieldId::kBrownoutEnter,
     "brownout_enter",
     FieldType::kRatio,
     kInherited,
     0,
     1,
     "0.9",
     "share of slots and queue",
     {},
     kChangeable,
     1,
     "Load above which requests that may be shed are refused."},
    {FieldId::kBrownoutLeave,
     "brownout_leave",
     FieldType::kRatio,
     kInherited,
     0,
     1,
     "0.7",
     "share of slots and queue",
     {},
     kChangeable,
     1,
     "Load below which they are taken again; not above brownout_enter."},
    {FieldId::kIdempotencyWindow,
     "idempotency_window",
     FieldType::kDuration,
     kInherited,
     kSecond,
     24 * kHour,
     "10m",
     "",
     {},
     kChangeable,
     1,
     "Time for which an idempotency key and its answer are remembered."},
    {FieldId::kHandOver, "hand_over", FieldType::kChoice, kInherited, 0, 0, "on", "", kSwitch,
     kChangeable, 1,
     "Whether requests that an endpoint can't run soon run at another endpoint of the service."},
    {FieldId::kDrainingZones,
     "draining_zones",
     FieldType::kZones,
     kRoot,
     0,
     0,
     "none",
     "",
     {},
     kChangeable,
     1,
     "Zones, as region/zone with commas between, whose endpoints drain in all services whatever "
     "their state says. One small edit drains a zone."},
}};

bool IsNameCharacter(char character) {
  return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
         (character >= '0' && character <= '9') || character == '-' || character == '_';
}

}  // namespace

std::string_view LevelName(Level level) { return kLevelNames[static_cast<std::size_t>(level)]; }

std::string_view ChildrenKey(Level level) { return kChildrenKeys[static_cast<std::size_t>(level)]; }

std::span<const FieldSchema> Schema() { return kSchema; }

const FieldSchema& SchemaOf(FieldId id) { return kSchema[static_cast<std::size_t>(id)]; }

const FieldSchema* FindField(std::string_view name) {
  const auto match = [name](const FieldSchema& schema) { return schema.name == name; };
  const auto* const found = std::find_if(kSchema.begin(), kSchema.end(), match);
  return found == kSchema.end() ? nullptr : found;
}

bool IsAllowedAt(const FieldSchema& schema, Level level) {
  switch (schema.scope) {
    case FieldScope::kRootOnly:
      return level == Level::kRoot;
    case FieldScope::kServiceOnly:
      return level == Level::kService;
    case FieldScope::kInherited:
      return true;
  }
  return false;
}

bool IsValidName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxNameLength &&
         std::all_of(name.begin(), name.end(), IsNameCharacter);
}

std::string DescribeNameRule(std::string_view name) {
  return "'" + std::string(name) + "' is no name: 1 to 63 letters, digits, '-' or '_'";
}

}  // namespace gaugevalve::settings
