// Reads the fields of one YAML map and collects what is wrong with them.
#pragma once

#include <yaml-cpp/yaml.h>

#include <set>
#include <string>

#include "gaugevalve/base/finding.h"
#include "gaugevalve/base/time.h"

namespace gaugevalve::lab {

// Each Read() leaves `value` as it is when the key is absent, and adds a finding when the text
// doesn't fit. Finish() reports the keys that nobody asked for.
class YamlMap {
 public:
  YamlMap(const YAML::Node& node, std::string path, std::string file, base::Findings& findings);

  void Read(const std::string& key, std::string& value);
  void Read(const std::string& key, double& value);
  void Read(const std::string& key, std::uint32_t& value);
  void Read(const std::string& key, std::uint64_t& value);
  void Read(const std::string& key, bool& value);
  void Read(const std::string& key, base::Duration& value);
  void Read(const std::string& key, std::vector<std::string>& value);

  // Returns the node of the key, for nested maps and lists; undefined when it is absent.
  YAML::Node Child(const std::string& key);
  const std::string& Path() const { return path_; }
  const std::string& File() const { return file_; }
  base::Findings& AllFindings() { return findings_; }

  // Adds a finding at the key's place.
  void Report(const std::string& key, const std::string& message);

  void Finish();

 private:
  template <class Value>
  void ReadAs(const std::string& key, Value& value, const char* expected);

  YAML::Node node_;
  std::string path_;
  std::string file_;
  base::Findings& findings_;
  std::set<std::string> asked_;
};

}  // namespace gaugevalve::lab
