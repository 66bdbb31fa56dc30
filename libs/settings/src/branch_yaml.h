// Branches of the tree as YAML, whole trees and single services alike.
#pragma once

#include <yaml-cpp/yaml.h>

#include <string>

#include "gaugevalve/settings/branch.h"
#include "yaml_reader.h"

namespace gaugevalve::settings {

// The format of a tree's text; a document of another version is refused.
inline constexpr int kTreeFormatVersion = 1;

// Reads a branch; faults go to `reader`. `entry.key` is the branch's name. At the root the key
// "version" is left to the caller.
Branch ReadBranch(YamlReader& reader, const YamlEntry& entry, Level level);

// Writes the fields and children of a branch as keys of the mapping that is open in `emitter`.
void EmitBranch(YAML::Emitter& emitter, const Branch& branch);

// Returns the canonical YAML of a branch alone; "{}" and a line end for an empty one.
std::string ExportBranch(const Branch& branch);

// Returns the branch in the YAML text, named `name`. Throws base::FindingsError; the places are in
// `file_name`, their paths start at `path`.
Branch ParseBranch(const std::string& text, Level level, const std::string& name,
                   const std::string& file_name, const std::string& path);

}  // namespace gaugevalve::settings
