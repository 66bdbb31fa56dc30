// Reads the project's stored JSON documents into typed values, collecting every fault.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gaugevalve/base/finding.h"

namespace gaugevalve::settings {

// One JSON object. Each getter adds a finding and returns an empty value when the key is missing or
// of another type.
class JsonReader {
 public:
  // Parses a document; a text that is no JSON object is a finding. `document` names it in findings.
  JsonReader(std::string_view text, std::string document);

  std::string Text(const char* key);
  std::uint64_t Number(const char* key);

  // Returns the text, or nothing for null.
  std::optional<std::string> NullableText(const char* key);

  // Returns the objects in the list, as readers that share nothing with this one.
  std::vector<JsonReader> Objects(const char* key);

  // Takes over the findings of a reader that Objects() gave.
  void Absorb(const JsonReader& part);

  // Adds a finding unless "format_version" is `known`.
  void ExpectFormatVersion(std::uint64_t known);

  void Add(const char* key, std::string message);

  // Throws base::FindingsError when there are findings.
  void ThrowIfAny() const;

 private:
  JsonReader(nlohmann::json object, std::string document, std::string path);

  const nlohmann::json* Find(const char* key);

  nlohmann::json object_;
  std::string document_;
  std::string path_;
  base::Findings findings_;
};

}  // namespace gaugevalve::settings
