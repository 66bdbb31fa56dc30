// The single steps of an edit, and what an edit may not do.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "gaugevalve/settings/settings_tree.h"
#include "gaugevalve/settings/tree_change.h"
#include "gaugevalve/settings/tree_path.h"

namespace gaugevalve::settings {

// Sets a field of an existing branch, or puts a branch (YAML mapping) in the place of whatever is
// there; outer branches that are missing are added with it.
struct SetOperation {
  TreePath path;
  std::string yaml;
};

// Removes a field's setting, so that it is inherited again, or a branch with all below it.
struct UnsetOperation {
  TreePath path;
};

// Puts a whole tree in the place of the present one.
struct ReplaceOperation {
  SettingsTree tree;
};

// Takes back what an earlier edit changed.
struct UndoOperation {
  std::vector<TreeChange> changes;
};

using TreeOperation = std::variant<SetOperation, UnsetOperation, ReplaceOperation, UndoOperation>;

// Returns the tree after the operations, in their order. Throws base::FindingsError when one can't
// be done, when the result has findings, or when a field changed that can't while its service
// exists.
SettingsTree ApplyOperations(const SettingsTree& tree,
                             const std::vector<TreeOperation>& operations);

// Returns the faults of a step from one good tree to another: fields that are fixed for the life of
// a service but differ, and draining zones that no service has.
base::Findings CheckStep(const SettingsTree& before, const SettingsTree& after);

// Returns the YAML of the branch, or the text of the field, that is set at the path. Throws
// base::FindingsError when there is none.
std::string ReadPath(const SettingsTree& tree, const TreePath& path);

}  // namespace gaugevalve::settings
