#include "yaml_map.h"

#include <utility>

#include "gaugevalve/settings/duration_text.h"

namespace gaugevalve::lab {

YamlMap::YamlMap(const YAML::Node& node, std::string path, std::string file,
                 base::Findings& findings)
    : node_(node), path_(std::move(path)), file_(std::move(file)), findings_(findings) {
  if (node_.IsDefined() && !node_.IsNull() && !node_.IsMap()) {
    Report("", "must be a map");
    node_ = YAML::Node(YAML::NodeType::Map);
  }
}

void YamlMap::Report(const std::string& key, const std::string& message) {
  const YAML::Node child = key.empty() ? node_ : node_[key];
  const YAML::Mark mark = child.IsDefined() ? child.Mark() : node_.Mark();
  base::SourcePlace place;
  place.file = file_;
  place.line = static_cast<std::size_t>(mark.line) + 1;
  place.column = static_cast<std::size_t>(mark.column) + 1;
  place.path = key.empty() ? path_ : path_ + (path_.empty() ? "" : ".") + key;
  findings_.push_back({place, message});
}

YAML::Node YamlMap::Child(const std::string& key) {
  asked_.insert(key);
  return node_.IsMap() ? node_[key] : YAML::Node(YAML::NodeType::Undefined);
}

template <class Value>
void YamlMap::ReadAs(const std::string& key, Value& value, const char* expected) {
  const YAML::Node child = Child(key);
  if (!child.IsDefined()) {
    return;
  }
  try {
    value = child.as<Value>();
  } catch (const YAML::Exception&) {
    Report(key, std::string("must be ") + expected);
  }
}

void YamlMap::Read(const std::string& key, std::string& value) { ReadAs(key, value, "text"); }
void YamlMap::Read(const std::string& key, double& value) { ReadAs(key, value, "a number"); }
void YamlMap::Read(const std::string& key, std::uint32_t& value) {
  ReadAs(key, value, "a whole number from 0");
}
void YamlMap::Read(const std::string& key, std::uint64_t& value) {
  ReadAs(key, value, "a whole number from 0");
}
void YamlMap::Read(const std::string& key, bool& value) { ReadAs(key, value, "true or false"); }
void YamlMap::Read(const std::string& key, std::vector<std::string>& value) {
  ReadAs(key, value, "a list of texts");
}

void YamlMap::Read(const std::string& key, base::Duration& value) {
  std::string text;
  Read(key, text);
  if (text.empty()) {
    return;
  }
  const std::optional<base::Duration> parsed = settings::ParseDuration(text);
  if (!parsed) {
    Report(key, "must be a duration as in 500us, 1500ms, 2s or 5m");
    return;
  }
  value = *parsed;
}

void YamlMap::Finish() {
  if (!node_.IsMap()) {
    return;
  }
  for (const auto& entry : node_) {
    const auto key = entry.first.as<std::string>();
    if (!asked_.contains(key)) {
      Report(key, "unknown key");
    }
  }
}

}  // namespace gaugevalve::lab
