#include "yaml_reader.h"

#include <set>
#include <utility>

#include "near_match.h"

namespace gaugevalve::settings {

std::string JoinPath(std::string_view path, std::string_view key) {
  return path.empty() ? std::string(key) : std::string(path) + "." + std::string(key);
}

std::optional<YAML::Node> YamlReader::Load(const std::string& text) {
  try {
    return YAML::Load(text);
  } catch (const YAML::Exception& error) {
    Add({file_name_, static_cast<std::size_t>(error.mark.line) + 1,
         static_cast<std::size_t>(error.mark.column) + 1, ""},
        "not YAML: " + error.msg);
    return std::nullopt;
  }
}

base::SourcePlace YamlReader::PlaceOf(const YAML::Node& node, std::string path) const {
  const YAML::Mark mark = node.Mark();
  if (mark.is_null()) {
    return {file_name_, 0, 0, std::move(path)};
  }
  return {file_name_, static_cast<std::size_t>(mark.line) + 1,
          static_cast<std::size_t>(mark.column) + 1, std::move(path)};
}

std::vector<YamlEntry> YamlReader::Entries(const YAML::Node& node, const base::SourcePlace& place) {
  std::vector<YamlEntry> entries;
  if (node.IsNull()) {
    return entries;
  }
  if (!node.IsMap()) {
    Add(place, "must be a mapping of keys to values");
    return entries;
  }
  std::set<std::string> seen;
  for (const auto& pair : node) {
    if (!pair.first.IsScalar()) {
      Add(PlaceOf(pair.first, place.path), "a key must be plain text");
      continue;
    }
    std::string key = pair.first.Scalar();
    const std::string path = JoinPath(place.path, key);
    const base::SourcePlace key_place = PlaceOf(pair.first, path);
    if (!seen.insert(key).second) {
      Add(key_place, "key '" + key + "' appears twice in this mapping");
      continue;
    }
    const bool is_empty = pair.second.IsNull();
    entries.push_back(
        {std::move(key), pair.second, is_empty ? key_place : PlaceOf(pair.second, path)});
  }
  return entries;
}

std::optional<std::string> YamlReader::Scalar(const YamlEntry& entry) {
  if (!entry.value.IsScalar()) {
    Add(entry.place, "must be a single value");
    return std::nullopt;
  }
  return entry.value.Scalar();
}

std::optional<base::SocketAddress> YamlReader::Address(const YamlEntry& entry) {
  const std::optional<std::string> text = Scalar(entry);
  if (!text) {
    return std::nullopt;
  }
  const std::optional<base::SocketAddress> address = base::SocketAddress::Parse(*text);
  if (!address) {
    Add(entry.place, "'" + *text + "' is not an IP address and port, as in 192.0.2.1:443");
  }
  return address;
}

std::vector<YamlEntry> YamlReader::Items(const YamlEntry& entry) {
  std::vector<YamlEntry> items;
  if (!entry.value.IsSequence()) {
    Add(entry.place, "must be a list");
    return items;
  }
  for (std::size_t index = 0; index < entry.value.size(); ++index) {
    const YAML::Node item = entry.value[index];
    std::string path = entry.place.path + "[" + std::to_string(index) + "]";
    items.push_back({"", item, PlaceOf(item, std::move(path))});
  }
  return items;
}

void YamlReader::Add(const base::SourcePlace& place, std::string message) {
  findings_.push_back({place, std::move(message)});
}

void YamlReader::AddUnknownKey(const YamlEntry& entry, std::span<const std::string_view> known) {
  Add(entry.place, DescribeUnknownKey(entry.key, known));
}

void YamlReader::ThrowIfAny() const {
  if (!findings_.empty()) {
    throw base::FindingsError(findings_);
  }
}

}  // namespace gaugevalve::settings
