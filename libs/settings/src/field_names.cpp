#include "field_names.h"

namespace gaugevalve::settings {

std::vector<std::string_view> KnownKeys(Level level) {
  std::vector<std::string_view> keys;
  for (const FieldSchema& schema : Schema()) {
    if (IsAllowedAt(schema, level)) {
      keys.push_back(schema.name);
    }
  }
  if (!ChildrenKey(level).empty()) {
    keys.push_back(ChildrenKey(level));
  }
  return keys;
}

}  // namespace gaugevalve::settings
