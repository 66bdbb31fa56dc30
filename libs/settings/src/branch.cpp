#include "gaugevalve/settings/branch.h"

namespace gaugevalve::settings {

const Branch* Branch::FindChild(std::string_view child_name) const {
  const auto found = children.find(child_name);
  return found == children.end() ? nullptr : &found->second;
}

Branch* Branch::FindChild(std::string_view child_name) {
  const auto found = children.find(child_name);
  return found == children.end() ? nullptr : &found->second;
}

}  // namespace gaugevalve::settings
