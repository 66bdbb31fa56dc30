#include "branch_yaml.h"

#include <string_view>
#include <utility>

#include "field_names.h"

namespace gaugevalve::settings {
namespace {

constexpr std::string_view kVersionKey = "version";

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
    reader.Add(entry.place, schema.scope == FieldScope::kRootOnly ? "can only be set at the root"
                                                                  : "can only be set at a service");
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

std::string ExportBranch(const Branch& branch) {
  YAML::Emitter emitter;
  emitter << YAML::BeginMap;
  EmitBranch(emitter, branch);
  emitter << YAML::EndMap;
  return std::string(emitter.c_str()) + "\n";
}

Branch ParseBranch(const std::string& text, Level level, const std::string& name,
                   const std::string& file_name, const std::string& path) {
  YamlReader reader(file_name);
  const std::optional<YAML::Node> document = reader.Load(text);
  reader.ThrowIfAny();
  Branch branch = ReadBranch(reader, {name, *document, reader.PlaceOf(*document, path)}, level);
  reader.ThrowIfAny();
  return branch;
}

}  // namespace gaugevalve::settings
