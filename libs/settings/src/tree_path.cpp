#include "gaugevalve/settings/tree_path.h"

#include <utility>

#include "field_names.h"
#include "gaugevalve/base/finding.h"
#include "near_match.h"
#include "yaml_reader.h"

namespace gaugevalve::settings {
namespace {

std::vector<std::string> SplitAtDots(std::string_view text) {
  std::vector<std::string> parts;
  std::size_t start = 0;
  while (start <= text.size() && !text.empty()) {
    const std::size_t dot = text.find('.', start);
    const std::size_t end = dot == std::string_view::npos ? text.size() : dot;
    parts.emplace_back(text.substr(start, end - start));
    start = end + 1;
  }
  return parts;
}

}  // namespace

TreePath TreePath::Parse(std::string_view text, std::string_view source) {
  const base::SourcePlace place{std::string(source), 0, 0, std::string(text)};
  const auto refuse = [&place](std::string message) {
    throw base::FindingsError({{place, std::move(message)}});
  };
  const std::vector<std::string> parts = SplitAtDots(text);
  TreePath path;
  for (std::size_t index = 0; index < parts.size(); ++index) {
    const Level level = path.BranchLevel();
    const bool is_last = index + 1 == parts.size();
    const FieldSchema* schema = FindField(parts[index]);
    if (is_last && schema != nullptr && IsAllowedAt(*schema, level)) {
      path.field = schema->id;
      continue;
    }
    if (ChildrenKey(level).empty() || parts[index] != ChildrenKey(level)) {
      refuse(DescribeUnknownKey(parts[index], KnownKeys(level)));
    }
    if (is_last) {
      refuse("must go on with the name of one of the " + parts[index]);
    }
    ++index;
    if (!IsValidName(parts[index])) {
      refuse(DescribeNameRule(parts[index]));
    }
    path.names.push_back(parts[index]);
  }
  return path;
}

TreePath TreePath::Child(std::string_view name) const {
  TreePath path = *this;
  path.names.emplace_back(name);
  return path;
}

TreePath TreePath::Field(FieldId id) const {
  TreePath path = *this;
  path.field = id;
  return path;
}

std::string TreePath::ToString() const {
  std::string text;
  for (std::size_t index = 0; index < names.size(); ++index) {
    text = JoinPath(JoinPath(text, ChildrenKey(static_cast<Level>(index))), names[index]);
  }
  return field ? JoinPath(text, SchemaOf(*field).name) : text;
}

}  // namespace gaugevalve::settings
