#include "gaugevalve/settings/reference.h"

#include <span>
#include <string_view>

#include "gaugevalve/settings/duration_text.h"
#include "gaugevalve/settings/field_schema.h"
#include "node_keys.h"

namespace gaugevalve::settings {
namespace {

constexpr std::string_view kIntroduction =
    R"(# Settings reference

This page is written by `gaugevalvectl reference`; a unit test fails when the two differ.

## The tree

Operators describe services in one tree: root, services, regions, zones, endpoints. A branch inherits
every inherited field from its parent and sets only what differs; the innermost setting wins. The text
is YAML and begins with `version: 1`. Names have 1 to 63 letters, digits, `-` or `_`. An endpoint's
name is unique in its service. Durations are a whole number with `us`, `ms`, `s`, `m` or `h`.

```yaml
version: 1
slots: 5                       # for all services
services:
  orders:
    kind: http3
    virtual_address: 192.0.2.10:443
    regions:
      north:
        zones:
          east:
            slots: 7           # for this zone
            endpoints:
              orders-1: {weight: 50}
              orders-2: {}
```

A path names a place in the tree by its keys: `services.orders.regions.north.zones.east.slots`.

)";

std::string_view TypeWords(FieldType type) {
  switch (type) {
    case FieldType::kInteger:
      return "whole number";
    case FieldType::kRatio:
      return "number";
    case FieldType::kDuration:
      return "duration";
    case FieldType::kAddress:
      return "IP:port";
    case FieldType::kChoice:
      return "one of";
    case FieldType::kZones:
      return "zones";
  }
  return "";
}

std::string_view ScopeWords(FieldScope scope) {
  switch (scope) {
    case FieldScope::kRootOnly:
      return "root";
    case FieldScope::kServiceOnly:
      return "service";
    case FieldScope::kInherited:
      return "any level, inherited";
  }
  return "";
}

std::string RangeWords(const FieldSchema& schema) {
  if (schema.type == FieldType::kDuration) {
    return FormatDuration(base::Duration(schema.minimum)) + " to " +
           FormatDuration(base::Duration(schema.maximum));
  }
  if (schema.type == FieldType::kInteger || schema.type == FieldType::kRatio) {
    return std::to_string(schema.minimum) + " to " + std::to_string(schema.maximum);
  }
  std::string text;
  for (const std::string_view choice : schema.choices) {
    text += (text.empty() ? "" : ", ") + std::string(choice);
  }
  return text;
}

std::string FieldRow(const FieldSchema& schema) {
  std::string row = "| `" + std::string(schema.name) + "` | ";
  row += ScopeWords(schema.scope);
  row += schema.is_fixed ? ", fixed | " : " | ";
  row += std::string(TypeWords(schema.type));
  const std::string range = RangeWords(schema);
  row += (range.empty() ? "" : " ") + range;
  row += schema.unit.empty() ? "" : " (" + std::string(schema.unit) + ")";
  row += " | ";
  row += schema.default_text.empty() ? "required" : "`" + std::string(schema.default_text) + "`";
  row += " | " + std::string(schema.description) + " |\n";
  return row;
}

std::string_view NeedWords(KeyNeed need) {
  switch (need) {
    case KeyNeed::kRequired:
      return "yes";
    case KeyNeed::kOptional:
      return "no";
    case KeyNeed::kRequiredForAgents:
      return "for agents";
  }
  return "";
}

std::string KeyTable(std::span<const NodeKey> keys) {
  std::string table = "| key | required | meaning |\n|---|---|---|\n";
  for (const NodeKey& key : keys) {
    table += "| `" + std::string(key.name) + "` | " + std::string(NeedWords(key.need)) + " | " +
             std::string(key.description) + " |\n";
  }
  return table;
}

}  // namespace

std::string SettingsReference() {
  std::string text(kIntroduction);
  text += "| key | where | value | default | meaning |\n|---|---|---|---|---|\n";
  for (const FieldSchema& schema : Schema()) {
    text += FieldRow(schema);
  }
  text +=
      "\nA fixed field can't change while its service exists. No two services share a virtual "
      "address.\n\n## A node's settings file\n\nEach daemon reads one YAML file "
      "(`--settings FILE`; `--check` reports its faults and exits).\n\n";
  text += KeyTable(NodeKeys());
  text += "\nSection `agent`:\n\n" + KeyTable(AgentKeys());
  text += "\nSection `static`:\n\n" + KeyTable(StaticKeys());
  text += "\nItems of `static.services`:\n\n" + KeyTable(StaticServiceKeys());
  text += "\nItems of `static.agents`:\n\n" + KeyTable(StaticAgentKeys());
  return text;
}

}  // namespace gaugevalve::settings
