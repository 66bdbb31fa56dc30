// What differs between two trees, in operators' words, and how to take it back.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "gaugevalve/settings/branch.h"
#include "gaugevalve/settings/settings_tree.h"
#include "gaugevalve/settings/tree_path.h"

namespace gaugevalve::settings {

// One difference. For a path to a field, the values before and after; for a path to a branch that
// was added or removed, the whole branch. Absent on the side where there is none.
struct TreeChange {
  TreePath path;
  std::optional<FieldValue> value_before;
  std::optional<FieldValue> value_after;
  std::optional<Branch> branch_before;
  std::optional<Branch> branch_after;

  // Returns the change in words: "changed services.orders.slots from 5 to 7",
  // "added endpoint services.orders.regions.north.zones.east.endpoints.orders-9".
  std::string ToString() const;

  friend bool operator==(const TreeChange&, const TreeChange&) = default;
};

// Returns what turns `before` into `after`, outer branches first, by name; empty for equal trees.
std::vector<TreeChange> DiffTrees(const SettingsTree& before, const SettingsTree& after);

// Returns all changes in words, a line each.
std::string DescribeChanges(const std::vector<TreeChange>& changes);

// Returns `current` with the changes taken back. Throws base::FindingsError naming every place that
// no longer is as the changes left it: a later edit is never overwritten.
SettingsTree UndoChanges(const SettingsTree& current, const std::vector<TreeChange>& changes);

}  // namespace gaugevalve::settings
