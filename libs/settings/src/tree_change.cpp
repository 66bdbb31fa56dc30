#include "gaugevalve/settings/tree_change.h"

#include <utility>

#include "gaugevalve/base/finding.h"
#include "tree_lookup.h"

namespace gaugevalve::settings {
namespace {

std::optional<FieldValue> ValueAt(const Branch& branch, FieldId id) {
  const auto found = branch.fields.find(id);
  if (found == branch.fields.end()) {
    return std::nullopt;
  }
  return found->second.value;
}

// Collects the differences of two branches of the same path.
class BranchDiff {
 public:
  void Compare(const Branch& before, const Branch& after, const TreePath& path) {
    CompareFields(before, after, path);
    for (const auto& [name, child] : before.children) {
      const Branch* const other = after.FindChild(name);
      if (other == nullptr) {
        changes_.push_back({path.Child(name), {}, {}, child, {}});
      } else {
        Compare(child, *other, path.Child(name));
      }
    }
    for (const auto& [name, child] : after.children) {
      if (before.FindChild(name) == nullptr) {
        changes_.push_back({path.Child(name), {}, {}, {}, child});
      }
    }
  }

  std::vector<TreeChange> Take() { return std::move(changes_); }

 private:
  void CompareFields(const Branch& before, const Branch& after, const TreePath& path) {
    for (const FieldSchema& schema : Schema()) {
      const std::optional<FieldValue> old_value = ValueAt(before, schema.id);
      const std::optional<FieldValue> new_value = ValueAt(after, schema.id);
      if (old_value != new_value) {
        changes_.push_back({path.Field(schema.id), old_value, new_value, {}, {}});
      }
    }
  }

  std::vector<TreeChange> changes_;
};

std::string DescribeField(const TreeChange& change) {
  const FieldSchema& schema = SchemaOf(*change.path.field);
  const std::string path = change.path.ToString();
  if (!change.value_before) {
    return "set " + path + " to " + FormatFieldValue(schema, *change.value_after);
  }
  const std::string before = FormatFieldValue(schema, *change.value_before);
  if (!change.value_after) {
    return "unset " + path + " (was " + before + ")";
  }
  return "changed " + path + " from " + before + " to " +
         FormatFieldValue(schema, *change.value_after);
}

// Takes changes back one by one, and notes those that it can't.
class Undo {
 public:
  explicit Undo(const SettingsTree& current) : tree_(current) {}

  void TakeBack(const TreeChange& change) {
    if (change.path.field) {
      TakeBackField(change);
    } else {
      TakeBackBranch(change);
    }
  }

  SettingsTree Finish() {
    if (!findings_.empty()) {
      throw base::FindingsError(std::move(findings_));
    }
    return std::move(tree_);
  }

 private:
  void TakeBackField(const TreeChange& change) {
    Branch* const branch = FindBranch(tree_, change.path.names);
    const FieldId id = *change.path.field;
    if (branch == nullptr || ValueAt(*branch, id) != change.value_after) {
      AddConflict(change);
    } else if (change.value_before) {
      branch->fields[id] = FieldSetting{*change.value_before, {}};
    } else {
      branch->fields.erase(id);
    }
  }

  void TakeBackBranch(const TreeChange& change) {
    const std::vector<std::string>& names = change.path.names;
    Branch* const parent = FindBranch(tree_, {names.begin(), names.end() - 1});
    if (parent == nullptr) {
      AddConflict(change);
      return;
    }
    const Branch* const present = parent->FindChild(names.back());
    const bool is_as_left =
        present == nullptr ? !change.branch_after.has_value() : change.branch_after == *present;
    if (!is_as_left) {
      AddConflict(change);
    } else if (change.branch_before) {
      parent->children[names.back()] = *change.branch_before;
    } else {
      parent->children.erase(names.back());
    }
  }

  void AddConflict(const TreeChange& change) {
    findings_.push_back({{"store", 0, 0, change.path.ToString()},
                         "can't be taken back: it was changed again since"});
  }

  SettingsTree tree_;
  base::Findings findings_;
};

}  // namespace

std::string TreeChange::ToString() const {
  if (path.field) {
    return DescribeField(*this);
  }
  const std::string verb = branch_after ? "added " : "removed ";
  return verb + std::string(LevelName(path.BranchLevel())) + " " + path.ToString();
}

std::vector<TreeChange> DiffTrees(const SettingsTree& before, const SettingsTree& after) {
  BranchDiff diff;
  diff.Compare(before.root, after.root, {});
  return diff.Take();
}

std::string DescribeChanges(const std::vector<TreeChange>& changes) {
  std::string text;
  for (const TreeChange& change : changes) {
    text += change.ToString() + "\n";
  }
  return text;
}

SettingsTree UndoChanges(const SettingsTree& current, const std::vector<TreeChange>& changes) {
  Undo undo(current);
  for (const TreeChange& change : changes) {
    undo.TakeBack(change);
  }
  return undo.Finish();
}

}  // namespace gaugevalve::settings
