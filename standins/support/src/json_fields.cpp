#include "gaugevalve/standins/json_fields.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace gaugevalve::standins {
namespace {

constexpr bool kAllowExceptions = false;

}  // namespace

std::int64_t InMilliseconds(base::Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

JsonFields::JsonFields(std::string subject, std::string_view text)
    : subject_(std::move(subject)),
      document_(nlohmann::json::parse(text.begin(), text.end(), nullptr, kAllowExceptions)) {
  if (!document_.is_object()) {
    throw base::FindingsError({{{subject_, 0, 0, ""}, "must be a JSON object"}});
  }
}

void JsonFields::ReadFlag(const std::string& name, bool& value) {
  const nlohmann::json* const field = Find(name);
  if (field == nullptr) {
    return;
  }
  if (!field->is_boolean()) {
    Report(name, "must be true or false");
    return;
  }
  field->get_to(value);
}

void JsonFields::ReadFraction(const std::string& name, double& value) {
  const nlohmann::json* const field = Find(name);
  if (field == nullptr) {
    return;
  }
  if (!field->is_number() || field->get<double>() < 0 || field->get<double>() > 1) {
    Report(name, "must be a number from 0 to 1");
    return;
  }
  field->get_to(value);
}

void JsonFields::ReadCount(const std::string& name, std::uint32_t& value) {
  const nlohmann::json* const field = Find(name);
  if (field == nullptr) {
    return;
  }
  if (!field->is_number_unsigned() || field->get<std::uint64_t>() > kLargestCount) {
    Report(name, "must be a whole number from 0 to " + std::to_string(kLargestCount));
    return;
  }
  field->get_to(value);
}

void JsonFields::ReadMilliseconds(const std::string& name, base::Duration& value) {
  auto count = static_cast<std::uint32_t>(InMilliseconds(value));
  ReadCount(name, count);
  value = std::chrono::milliseconds(count);
}

void JsonFields::ReadChoice(const std::string& name, const std::vector<std::string>& names,
                            std::size_t& index) {
  const nlohmann::json* const field = Find(name);
  if (field == nullptr) {
    return;
  }
  const auto found = field->is_string()
                         ? std::find(names.begin(), names.end(), field->get<std::string>())
                         : names.end();
  if (found == names.end()) {
    std::string message = "must be one of:";
    for (const std::string& choice : names) {
      message += " " + choice;
    }
    Report(name, message);
    return;
  }
  index = static_cast<std::size_t>(found - names.begin());
}

void JsonFields::ReadTexts(const std::string& name, std::vector<std::string>& value) {
  const nlohmann::json* const field = Find(name);
  if (field == nullptr) {
    return;
  }
  if (!field->is_array() || !std::all_of(field->begin(), field->end(),
                                         [](const auto& item) { return item.is_string(); })) {
    Report(name, "must be a list of texts");
    return;
  }
  field->get_to(value);
}

void JsonFields::Report(const std::string& name, const std::string& message) {
  findings_.push_back({{subject_, 0, 0, name}, message});
}

void JsonFields::Finish() {
  for (const auto& [name, field] : document_.items()) {
    if (!known_.contains(name)) {
      Report(name, "is not known here");
    }
  }
  if (!findings_.empty()) {
    throw base::FindingsError(findings_);
  }
}

const nlohmann::json* JsonFields::Find(const std::string& name) {
  known_.insert(name);
  const auto field = document_.find(name);
  return field == document_.end() ? nullptr : &*field;
}

}  // namespace gaugevalve::standins
