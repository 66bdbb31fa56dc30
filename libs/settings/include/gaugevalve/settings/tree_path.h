// Paths into the settings tree, written as in the YAML:
// "services.orders.regions.north.zones.east.slots".
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gaugevalve/settings/field_schema.h"

namespace gaugevalve::settings {

// The place of a branch, or of a field at a branch.
struct TreePath {
  std::vector<std::string> names;  // service, region, zone, endpoint; as many as the path has
  std::optional<FieldId> field;    // absent when the path names a branch

  // Returns the path in `text`; the empty text is the root. Throws base::FindingsError with the
  // place `source` and a near match when a part isn't known.
  static TreePath Parse(std::string_view text, std::string_view source);

  // Returns the level of the branch.
  Level BranchLevel() const { return static_cast<Level>(names.size()); }

  // Returns the path of a child of this branch.
  TreePath Child(std::string_view name) const;

  // Returns the path of a field at this branch.
  TreePath Field(FieldId id) const;

  // Returns the text that Parse() reads.
  std::string ToString() const;

  friend bool operator==(const TreePath&, const TreePath&) = default;
};

}  // namespace gaugevalve::settings
