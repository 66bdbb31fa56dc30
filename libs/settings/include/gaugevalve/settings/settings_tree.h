// The operators' tree of settings: root, services, regions, zones, endpoints.
#pragma once

#include <string>

#include "gaugevalve/base/finding.h"
#include "gaugevalve/settings/branch.h"

namespace gaugevalve::settings {

// The whole tree as it was written. A plain value.
struct SettingsTree {
  Branch root;

  friend bool operator==(const SettingsTree&, const SettingsTree&) = default;
};

// Returns the tree in the YAML text (see docs/SETTINGS.md). Throws base::FindingsError with every
// fault, those of CheckTree() included, each with its place in `file_name`.
SettingsTree ParseTree(const std::string& text, const std::string& file_name);

// Returns the faults that a tree of well-formed values can still have: missing fields, two services
// with one virtual address or one identifier, one endpoint name used twice in a service,
// thresholds in the wrong order.
base::Findings CheckTree(const SettingsTree& tree);

// Returns the canonical YAML of the tree: equal trees give equal text, ParseTree() reads it back.
std::string ExportTree(const SettingsTree& tree);

// Returns the lowest schema version that has every field the tree sets.
std::uint32_t RequiredSchemaVersion(const SettingsTree& tree);

}  // namespace gaugevalve::settings
