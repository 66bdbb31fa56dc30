// One branch of the settings tree with what is set at it and below it.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "gaugevalve/base/finding.h"
#include "gaugevalve/settings/field_schema.h"
#include "gaugevalve/settings/field_value.h"

namespace gaugevalve::settings {

// A value that is set at a branch, and where it was read. Two settings with one value are equal.
struct FieldSetting {
  FieldValue value;
  base::SourcePlace place;

  friend bool operator==(const FieldSetting& left, const FieldSetting& right) {
    return left.value == right.value;
  }
};

// A branch: the root, a service, a region, a zone or an endpoint. A plain value; its maps are
// ordered, so equal branches print alike. Holds only what is set here: inheritance is Resolve()'s.
struct Branch {
  Level level = Level::kRoot;
  std::string name;  // empty at the root
  std::map<FieldId, FieldSetting> fields;
  std::map<std::string, Branch, std::less<>> children;
  base::SourcePlace place;  // not part of equality

  // Returns the child with this name, or null.
  const Branch* FindChild(std::string_view child_name) const;
  Branch* FindChild(std::string_view child_name);

  friend bool operator==(const Branch& left, const Branch& right) {
    return left.level == right.level && left.name == right.name && left.fields == right.fields &&
           left.children == right.children;
  }
};

}  // namespace gaugevalve::settings
