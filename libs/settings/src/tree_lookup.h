// Finding branches by their names.
#pragma once

#include <string>
#include <vector>

#include "gaugevalve/settings/settings_tree.h"

namespace gaugevalve::settings {

// Returns the branch below the root with these names from the outside in, or null.
Branch* FindBranch(SettingsTree& tree, const std::vector<std::string>& names);
const Branch* FindBranch(const SettingsTree& tree, const std::vector<std::string>& names);

}  // namespace gaugevalve::settings
