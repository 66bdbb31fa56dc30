#include "gaugevalve/settings/settings_tree.h"

#include <algorithm>
#include <set>
#include <string>

#include "branch_yaml.h"
#include "yaml_reader.h"

namespace gaugevalve::settings {
namespace {

void CheckVersion(YamlReader& reader, const YAML::Node& document) {
  const base::SourcePlace place = reader.PlaceOf(document, "");
  if (!document.IsMap()) {
    return;
  }
  const YAML::Node version = document["version"];
  if (!version.IsDefined()) {
    reader.Add(place, "key 'version' is missing; this release reads version " +
                          std::to_string(kTreeFormatVersion));
    return;
  }
  if (!version.IsScalar() || version.Scalar() != std::to_string(kTreeFormatVersion)) {
    reader.Add(reader.PlaceOf(version, "version"),
               "this release reads version " + std::to_string(kTreeFormatVersion));
  }
}

// Adds what the check found, except at paths that already have a finding: a malformed value isn't
// also a missing one.
void AddCheckFindings(YamlReader& reader, const base::Findings& found) {
  std::set<std::string> reported;
  for (const base::Finding& finding : reader.findings()) {
    reported.insert(finding.place.path);
  }
  for (const base::Finding& finding : found) {
    if (!reported.contains(finding.place.path)) {
      reader.Add(finding.place, finding.message);
    }
  }
}

std::uint32_t RequiredByBranch(const Branch& branch) {
  std::uint32_t required = 1;
  for (const auto& [id, setting] : branch.fields) {
    required = std::max(required, SchemaOf(id).since);
  }
  for (const auto& [name, child] : branch.children) {
    required = std::max(required, RequiredByBranch(child));
  }
  return required;
}

}  // namespace

SettingsTree ParseTree(const std::string& text, const std::string& file_name) {
  YamlReader reader(file_name);
  const std::optional<YAML::Node> document = reader.Load(text);
  reader.ThrowIfAny();
  CheckVersion(reader, *document);
  SettingsTree tree;
  tree.root = ReadBranch(reader, {"", *document, reader.PlaceOf(*document, "")}, Level::kRoot);

  AddCheckFindings(reader, CheckTree(tree));
  reader.ThrowIfAny();
  return tree;
}

std::string ExportTree(const SettingsTree& tree) {
  YAML::Emitter emitter;
  emitter << YAML::BeginMap;
  emitter << YAML::Key << "version" << YAML::Value << kTreeFormatVersion;
  EmitBranch(emitter, tree.root);
  emitter << YAML::EndMap;
  return std::string(emitter.c_str()) + "\n";
}

std::uint32_t RequiredSchemaVersion(const SettingsTree& tree) {
  return RequiredByBranch(tree.root);
}

}  // namespace gaugevalve::settings
