#include "gaugevalve/settings/tree_operation.h"

#include <string_view>
#include <utility>

#include "branch_yaml.h"
#include "gaugevalve/base/finding.h"
#include "near_match.h"
#include "tree_lookup.h"

namespace gaugevalve::settings {
namespace {

constexpr const char* kEditSource = "edit";

[[noreturn]] void Refuse(const TreePath& path, std::string message) {
  throw base::FindingsError({{{kEditSource, 0, 0, path.ToString()}, std::move(message)}});
}

// Throws for the first missing branch on the way to `path`, with a near match of its siblings.
[[noreturn]] void RefuseMissingBranch(const SettingsTree& tree, const TreePath& path) {
  const Branch* branch = &tree.root;
  for (const std::string& name : path.names) {
    const Branch* const child = branch->FindChild(name);
    if (child == nullptr) {
      std::vector<std::string_view> siblings;
      for (const auto& [sibling_name, sibling] : branch->children) {
        siblings.emplace_back(sibling_name);
      }
      const std::string key(ChildrenKey(branch->level));
      Refuse(path, "in " + key + ": " + DescribeUnknownKey(name, siblings));
    }
    branch = child;
  }
  Refuse(path, "is not set here");
}

// Returns the branch, adding it and those on the way to it where they are missing.
Branch& MakeBranch(SettingsTree& tree, const std::vector<std::string>& names) {
  Branch* branch = &tree.root;
  for (const std::string& name : names) {
    const Level level = static_cast<Level>(static_cast<int>(branch->level) + 1);
    Branch& child = branch->children.try_emplace(name).first->second;
    child.level = level;
    child.name = name;
    branch = &child;
  }
  return *branch;
}

// Returns the text of a service's own field: what is set, else the default.
std::string EffectiveText(const FieldSchema& schema, const std::optional<FieldValue>& value) {
  return value ? FormatFieldValue(schema, *value) : std::string(schema.default_text);
}

// Returns whether the change touches a field that is fixed for the life of its service.
bool ChangesFixedField(const TreeChange& change) {
  if (!change.path.field) {
    return false;
  }
  const FieldSchema& schema = SchemaOf(*change.path.field);
  return schema.is_fixed &&
         EffectiveText(schema, change.value_before) != EffectiveText(schema, change.value_after);
}

// Does one operation on a tree.
class Applier {
 public:
  explicit Applier(SettingsTree& tree) : tree_(tree) {}

  void operator()(const SetOperation& operation) {
    if (operation.path.field) {
      SetField(operation);
    } else {
      SetBranch(operation);
    }
  }

  void operator()(const UnsetOperation& operation) {
    const TreePath& path = operation.path;
    Branch* const branch = FindBranch(tree_, path.names);
    if (branch == nullptr) {
      RefuseMissingBranch(tree_, path);
    }
    if (path.field) {
      if (branch->fields.erase(*path.field) == 0) {
        Refuse(path, "is not set here");
      }
      return;
    }
    if (path.names.empty()) {
      Refuse(path, "the root can't be removed");
    }
    Branch* const parent = FindBranch(tree_, {path.names.begin(), path.names.end() - 1});
    parent->children.erase(path.names.back());
  }

  void operator()(const ReplaceOperation& operation) { tree_ = operation.tree; }

  void operator()(const UndoOperation& operation) { tree_ = UndoChanges(tree_, operation.changes); }

 private:
  void SetField(const SetOperation& operation) {
    Branch* const branch = FindBranch(tree_, operation.path.names);
    if (branch == nullptr) {
      RefuseMissingBranch(tree_, operation.path);
    }
    const FieldSchema& schema = SchemaOf(*operation.path.field);
    FieldParseResult parsed = ParseFieldValue(schema, operation.yaml);
    if (!parsed.value) {
      Refuse(operation.path, std::move(parsed.fault));
    }
    branch->fields[schema.id] = FieldSetting{*parsed.value, {}};
  }

  void SetBranch(const SetOperation& operation) {
    const TreePath& path = operation.path;
    const std::string name = path.names.empty() ? "" : path.names.back();
    Branch parsed =
        ParseBranch(operation.yaml, path.BranchLevel(), name, kEditSource, path.ToString());
    MakeBranch(tree_, path.names) = std::move(parsed);
  }

  SettingsTree& tree_;
};

}  // namespace

SettingsTree ApplyOperations(const SettingsTree& tree,
                             const std::vector<TreeOperation>& operations) {
  SettingsTree result = tree;
  Applier applier(result);
  for (const TreeOperation& operation : operations) {
    std::visit(applier, operation);
  }
  base::Findings findings = CheckTree(result);
  const base::Findings step_findings = CheckStep(tree, result);
  findings.insert(findings.end(), step_findings.begin(), step_findings.end());
  if (!findings.empty()) {
    throw base::FindingsError(std::move(findings));
  }
  return result;
}

namespace {

bool HasZone(const SettingsTree& tree, const ZoneName& zone) {
  for (const auto& [name, service] : tree.root.children) {
    const Branch* const region = service.FindChild(zone.region);
    if (region != nullptr && region->FindChild(zone.zone) != nullptr) {
      return true;
    }
  }
  return false;
}

// Reports zones that the step adds to the draining ones although no service has them. Only a whole
// tree can tell, which is why CheckTree() doesn't.
void CheckDrainingZones(const TreeChange& change, const SettingsTree& after,
                        base::Findings& findings) {
  if (change.path.field != FieldId::kDrainingZones || !change.value_after) {
    return;
  }
  for (const ZoneName& zone : std::get<ZoneNames>(*change.value_after)) {
    if (!HasZone(after, zone)) {
      findings.push_back({{kEditSource, 0, 0, change.path.ToString()},
                          "no service has a zone " + zone.ToString()});
    }
  }
}

}  // namespace

base::Findings CheckStep(const SettingsTree& before, const SettingsTree& after) {
  base::Findings findings;
  for (const TreeChange& change : DiffTrees(before, after)) {
    CheckDrainingZones(change, after, findings);
    if (ChangesFixedField(change)) {
      findings.push_back({{kEditSource, 0, 0, change.path.ToString()},
                          "can't change while the service exists; add a service under another name "
                          "and drain this one"});
    }
  }
  return findings;
}

std::string ReadPath(const SettingsTree& tree, const TreePath& path) {
  const Branch* const branch = FindBranch(tree, path.names);
  if (branch == nullptr) {
    RefuseMissingBranch(tree, path);
  }
  if (!path.field) {
    return ExportBranch(*branch);
  }
  const auto setting = branch->fields.find(*path.field);
  if (setting == branch->fields.end()) {
    Refuse(path, "is not set here");
  }
  return FormatFieldValue(SchemaOf(*path.field), setting->second.value) + "\n";
}

}  // namespace gaugevalve::settings
