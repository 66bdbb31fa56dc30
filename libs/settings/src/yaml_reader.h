// Reads YAML into typed values and collects every fault with its line and column.
#pragma once

#include <yaml-cpp/yaml.h>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "gaugevalve/base/finding.h"
#include "gaugevalve/base/socket_address.h"

namespace gaugevalve::settings {

// One key of a mapping, with the place of the key and the path of its value.
struct YamlEntry {
  std::string key;
  YAML::Node value;
  base::SourcePlace place;  // of the value; of the key where the value is empty
};

// The findings of one document. Every method that fails adds a finding and goes on, so that one
// pass reports all faults. Not thread-safe.
class YamlReader {
 public:
  explicit YamlReader(std::string file_name) : file_name_(std::move(file_name)) {}

  // Parses the text; adds a finding and returns nothing when it isn't YAML.
  std::optional<YAML::Node> Load(const std::string& text);

  // Returns the entries of a mapping in the order of the file, without repeated keys, each of which
  // is a finding. An empty (null) value counts as an empty mapping.
  std::vector<YamlEntry> Entries(const YAML::Node& node, const base::SourcePlace& place);

  // Returns the text of a scalar, or nothing with a finding.
  std::optional<std::string> Scalar(const YamlEntry& entry);

  // Returns an "ip:port" address, or nothing with a finding.
  std::optional<base::SocketAddress> Address(const YamlEntry& entry);

  // Returns the items of a sequence as entries whose path ends in "[index]"; a finding otherwise.
  std::vector<YamlEntry> Items(const YamlEntry& entry);

  void Add(const base::SourcePlace& place, std::string message);

  // Adds the finding for a key that is none of `known`.
  void AddUnknownKey(const YamlEntry& entry, std::span<const std::string_view> known);

  base::SourcePlace PlaceOf(const YAML::Node& node, std::string path) const;

  // Throws base::FindingsError when there are findings.
  void ThrowIfAny() const;

  const base::Findings& findings() const {  // NOLINT(readability-identifier-naming)
    return findings_;
  }

 private:
  std::string file_name_;
  base::Findings findings_;
};

// Returns "path.key", or "key" at the top of a document.
std::string JoinPath(std::string_view path, std::string_view key);

}  // namespace gaugevalve::settings
