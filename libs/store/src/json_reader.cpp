#include "json_reader.h"

#include <charconv>
#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

namespace gaugevalve::store {
namespace {

const nlohmann::json& EmptyObject() {
  static const nlohmann::json empty = nlohmann::json::object();
  return empty;
}

}  // namespace

JsonReader::JsonReader(const nlohmann::json& json, std::string path, base::Findings& findings)
    : json_(&json), path_(std::move(path)), findings_(&findings) {
  if (!json_->is_object()) {
    findings_->push_back({{"store", 0, 0, path_}, "is not an object"});
    json_ = &EmptyObject();
  }
}

bool JsonReader::Flag(const char* name) const {
  const nlohmann::json* field = Find(name);
  if (field == nullptr) {
    return false;
  }
  if (!field->is_boolean()) {
    Report(name, "is not true or false");
    return false;
  }
  return field->get<bool>();
}

std::int64_t JsonReader::Integer(const char* name) const {
  const nlohmann::json* field = Find(name);
  if (field == nullptr) {
    return 0;
  }
  if (field->is_number_unsigned() &&
      field->get<std::uint64_t>() <= static_cast<std::uint64_t>(INT64_MAX)) {
    return static_cast<std::int64_t>(field->get<std::uint64_t>());
  }
  if (field->is_number_integer() && !field->is_number_unsigned()) {
    return field->get<std::int64_t>();
  }
  if (field->is_string()) {
    const auto& text = field->get_ref<const std::string&>();
    std::int64_t number = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec == std::errc() && parsed.ptr == end) {
      return number;
    }
  }
  Report(name, "is not a 64-bit number");
  return 0;
}

base::Revision JsonReader::Revision(const char* name) const {
  const std::int64_t number = Integer(name);
  if (number < 0) {
    Report(name, "is negative");
    return base::Revision{};
  }
  return base::Revision{static_cast<std::uint64_t>(number)};
}

std::string JsonReader::Text(const char* name) const {
  const nlohmann::json* field = Find(name);
  if (field == nullptr) {
    return "";
  }
  if (!field->is_string()) {
    Report(name, "is not a string");
    return "";
  }
  return field->get<std::string>();
}

std::string JsonReader::Bytes(const char* name) const {
  std::string decoded;
  if (!absl::Base64Unescape(Text(name), &decoded)) {
    Report(name, "is not base64");
    return "";
  }
  return decoded;
}

JsonReader JsonReader::Object(const char* name) const {
  const nlohmann::json* field = Find(name);
  return JsonReader(field == nullptr ? EmptyObject() : *field, FieldPath(name), *findings_);
}

bool JsonReader::Has(const char* name) const { return Find(name) != nullptr; }

void JsonReader::Report(const char* name, std::string message) const {
  findings_->push_back({{"store", 0, 0, FieldPath(name)}, std::move(message)});
}

const nlohmann::json* JsonReader::Find(const char* name) const {
  const auto found = json_->find(name);
  return found == json_->end() || found->is_null() ? nullptr : &*found;
}

std::string JsonReader::ElementPath(const char* name, std::size_t index) const {
  return absl::StrCat(FieldPath(name), "[", index, "]");
}

std::string JsonReader::FieldPath(const char* name) const {
  return path_.empty() ? std::string(name) : absl::StrCat(path_, ".", name);
}

}  // namespace gaugevalve::store
