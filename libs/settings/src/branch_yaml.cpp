#include "branch_yaml.h"

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

namespace gaugevalve::settings {
namespace {

constexpr std::string_view kVersionKey = "version";

// Returns the keys that a branch of this level may have, for hints.
std::vector<std::string_view> KnownKeys(Level level) {
  std::vector<std::string_view> keys;
  for (const FieldSchema& schema : Schema()) {
    if (IsAllowedAt(schema, level)) {
      keys.push_back(schema.name);
    }
  }
  if (!ChildrenKey(level).empty()) {
    keys.push_back(ChildrenKey(level));
  }
  return keys;
}

Level ChildLevel(Level level) { return static_cast<Level>(static_cast<int>(level) + 1); }

void ReadChildren(YamlReader& reader, const YamlEntry& entry, Branch& parent) {
  for (const YamlEntry& child : reader.Entries(entry.value, entry.place)) {
    if (!IsValidName(child.key)) {
      reader.Add(child.place, DescribeNameRule(child.key));
      continue;
    }
    parent.children.emplace(child.key, ReadBranch(reader, child, ChildLevel(parent.level)));
  }
}

void ReadField(YamlReader& reader, const YamlEntry& entry, const FieldSchema& schema,
               Branch& branch) {
  if (!IsAllowedAt(schema, branch.level)) {
    reader.Add(entry.place, "can only be set at a service");
    return;
  }
  const std::optional<std::string> text = reader.Scalar(entry);
  if (!text) {
    return;
  }
  FieldParseResult parsed = ParseFieldValue(schema, *text);
  if (!parsed.value) {
    reader.Add(entry.place, std::move(parsed.fault));
    return;
  }
  branch.fields.emplace(schema.id, FieldSetting{*parsed.value, entry.place});
}

}  // namespace

Branch ReadBranch(YamlReader& reader, const YamlEntry& entry, Level level) {
  Branch branch;
  branch.level = level;
  branch.name = entry.key;
  branch.place = entry.place;
  for (const YamlEntry& child : reader.Entries(entry.value, entry.place)) {
    if (level == Level::kRoot && child.key == kVersionKey) {
      continue;
    }
    if (const FieldSchema* schema = FindField(child.key)) {
      ReadField(reader, child, *schema, branch);
    } else if (!ChildrenKey(level).empty() && child.key == ChildrenKey(level)) {
      ReadChildren(reader, child, branch);
    } else {
      reader.AddUnknownKey(child, KnownKeys(level));
    }
  }
  return branch;
}

void EmitBranch(YAML::Emitter& emitter, const Branch& branch) {
  for (const auto& [id, setting] : branch.fields) {
    const FieldSchema& schema = SchemaOf(id);
    emitter << YAML::Key << std::string(schema.name);
    emitter << YAML::Value << FormatFieldValue(schema, setting.value);
  }
  if (branch.children.empty()) {
    return;
  }
  emitter << YAML::Key << std::string(ChildrenKey(branch.level));
  emitter << YAML::Value << YAML::BeginMap;
  for (const auto& [name, child] : branch.children) {
    emitter << YAML::Key << name << YAML::Value << YAML::BeginMap;
    EmitBranch(emitter, child);
    emitter << YAML::EndMap;
  }
  emitter << YAML::EndMap;
}

}  // namespace gaugevalve::settings
