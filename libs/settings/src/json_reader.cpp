#include "json_reader.h"

#include <utility>

namespace gaugevalve::settings {

JsonReader::JsonReader(std::string_view text, std::string document)
    : object_(nlohmann::json::parse(text, nullptr, false)), document_(std::move(document)) {
  if (!object_.is_object()) {
    findings_.push_back({{document_, 0, 0, ""}, "is not a JSON object"});
    object_ = nlohmann::json::object();
  }
}

JsonReader::JsonReader(nlohmann::json object, std::string document, std::string path)
    : object_(std::move(object)), document_(std::move(document)), path_(std::move(path)) {
  if (!object_.is_object()) {
    findings_.push_back({{document_, 0, 0, path_}, "is not a JSON object"});
    object_ = nlohmann::json::object();
  }
}

const nlohmann::json* JsonReader::Find(const char* key) {
  const auto found = object_.find(key);
  if (found == object_.end()) {
    Add(key, "is missing");
    return nullptr;
  }
  return &*found;
}

std::string JsonReader::Text(const char* key) {
  const nlohmann::json* const value = Find(key);
  if (value != nullptr && !value->is_string()) {
    Add(key, "must be text");
    return "";
  }
  return value == nullptr ? "" : value->get<std::string>();
}

std::uint64_t JsonReader::Number(const char* key) {
  const nlohmann::json* const value = Find(key);
  if (value != nullptr && !value->is_number_unsigned()) {
    Add(key, "must be a whole number, not negative");
    return 0;
  }
  return value == nullptr ? 0 : value->get<std::uint64_t>();
}

std::optional<std::string> JsonReader::NullableText(const char* key) {
  const auto found = object_.find(key);
  if (found != object_.end() && found->is_null()) {
    return std::nullopt;
  }
  return Text(key);
}

std::vector<JsonReader> JsonReader::Objects(const char* key) {
  std::vector<JsonReader> objects;
  const nlohmann::json* const value = Find(key);
  if (value == nullptr) {
    return objects;
  }
  if (!value->is_array()) {
    Add(key, "must be a list");
    return objects;
  }
  for (std::size_t index = 0; index < value->size(); ++index) {
    const std::string path = std::string(key) + "[" + std::to_string(index) + "]";
    objects.push_back(JsonReader((*value)[index], document_, path));
  }
  return objects;
}

void JsonReader::Absorb(const JsonReader& part) {
  findings_.insert(findings_.end(), part.findings_.begin(), part.findings_.end());
}

void JsonReader::ExpectFormatVersion(std::uint64_t known) {
  const std::uint64_t version = Number("format_version");
  if (findings_.empty() && version != known) {
    Add("format_version",
        "is " + std::to_string(version) + "; this release reads " + std::to_string(known));
  }
}

void JsonReader::Add(const char* key, std::string message) {
  const std::string path = path_.empty() ? std::string(key) : path_ + "." + key;
  findings_.push_back({{document_, 0, 0, path}, std::move(message)});
}

void JsonReader::ThrowIfAny() const {
  if (!findings_.empty()) {
    throw base::FindingsError(findings_);
  }
}

}  // namespace gaugevalve::settings
