#include "tree_lookup.h"

namespace gaugevalve::settings {

const Branch* FindBranch(const SettingsTree& tree, const std::vector<std::string>& names) {
  const Branch* branch = &tree.root;
  for (const std::string& name : names) {
    branch = branch == nullptr ? nullptr : branch->FindChild(name);
  }
  return branch;
}

Branch* FindBranch(SettingsTree& tree, const std::vector<std::string>& names) {
  const SettingsTree& unchanged = tree;
  return const_cast<Branch*>(FindBranch(unchanged, names));
}

}  // namespace gaugevalve::settings
