#include "gaugevalve/settings/field_value.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <system_error>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/str_split.h"
#include "gaugevalve/settings/duration_text.h"
#include "gaugevalve/settings/field_schema.h"

namespace gaugevalve::settings {
namespace {

constexpr std::string_view kNoZones = "none";

FieldParseResult Fault(const std::string& text, const std::string& problem) {
  return {std::nullopt, "'" + text + "' " + problem};
}

template <class Number>
bool ParseNumber(std::string_view text, Number& number) {
  const char* const end = text.data() + text.size();
  const std::from_chars_result result = std::from_chars(text.data(), end, number);
  return result.ec == std::errc() && result.ptr == end;
}

FieldParseResult ParseInteger(const FieldSchema& schema, const std::string& text) {
  std::int64_t number = 0;
  if (!ParseNumber(text, number)) {
    return Fault(text, "is not a whole number");
  }
  if (number < schema.minimum || number > schema.maximum) {
    return Fault(text, "is not between " + std::to_string(schema.minimum) + " and " +
                           std::to_string(schema.maximum));
  }
  return {FieldValue(number), ""};
}

FieldParseResult ParseRatio(const std::string& text) {
  double number = 0;
  if (!ParseNumber(text, number) || !(number >= 0.0 && number <= 1.0)) {
    return Fault(text, "is not a number between 0 and 1");
  }
  return {FieldValue(number), ""};
}

FieldParseResult ParseDurationField(const FieldSchema& schema, const std::string& text) {
  const std::optional<base::Duration> duration = ParseDuration(text);
  if (!duration) {
    return Fault(text, "is not a duration: a whole number with us, ms, s, m or h, as in 1500ms");
  }
  if (duration->count() < schema.minimum || duration->count() > schema.maximum) {
    return Fault(text, "is not between " + FormatDuration(base::Duration(schema.minimum)) +
                           " and " + FormatDuration(base::Duration(schema.maximum)));
  }
  return {FieldValue(*duration), ""};
}

FieldParseResult ParseAddress(const std::string& text) {
  const std::optional<base::SocketAddress> address = base::SocketAddress::Parse(text);
  if (!address) {
    return Fault(text, "is not an IP address and port, as in 192.0.2.1:443");
  }
  return {FieldValue(*address), ""};
}

FieldParseResult ParseChoice(const FieldSchema& schema, const std::string& text) {
  const auto found = std::find(schema.choices.begin(), schema.choices.end(), text);
  if (found != schema.choices.end()) {
    return {FieldValue(Choice{static_cast<std::uint8_t>(found - schema.choices.begin())}), ""};
  }
  std::string problem = "is none of:";
  for (const std::string_view choice : schema.choices) {
    problem += " " + std::string(choice);
  }
  return Fault(text, problem);
}

FieldParseResult ParseZones(const std::string& text) {
  ZoneNames zones;
  if (text == kNoZones) {
    return {FieldValue(zones), ""};
  }
  for (const absl::string_view part : absl::StrSplit(text, ',')) {
    const std::string trimmed(absl::StripAsciiWhitespace(part));
    const std::optional<ZoneName> zone = ZoneName::Parse(trimmed);
    if (!zone) {
      return Fault(trimmed, "is not a zone: region/zone, or 'none' for an empty list");
    }
    zones.push_back(*zone);
  }
  std::sort(zones.begin(), zones.end());
  zones.erase(std::unique(zones.begin(), zones.end()), zones.end());
  return {FieldValue(std::move(zones)), ""};
}

std::string FormatZones(const ZoneNames& zones) {
  if (zones.empty()) {
    return std::string(kNoZones);
  }
  std::string text;
  for (const ZoneName& zone : zones) {
    text += (text.empty() ? "" : ", ") + zone.ToString();
  }
  return text;
}

std::string FormatRatio(double ratio) {
  char text[32];
  const std::to_chars_result result = std::to_chars(text, text + sizeof(text), ratio);
  return std::string(text, result.ptr);
}

}  // namespace

std::optional<ZoneName> ZoneName::Parse(std::string_view text) {
  const std::size_t slash = text.find('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  ZoneName name{std::string(text.substr(0, slash)), std::string(text.substr(slash + 1))};
  if (!IsValidName(name.region) || !IsValidName(name.zone)) {
    return std::nullopt;
  }
  return name;
}

FieldParseResult ParseFieldValue(const FieldSchema& schema, const std::string& text) {
  switch (schema.type) {
    case FieldType::kInteger:
      return ParseInteger(schema, text);
    case FieldType::kRatio:
      return ParseRatio(text);
    case FieldType::kDuration:
      return ParseDurationField(schema, text);
    case FieldType::kAddress:
      return ParseAddress(text);
    case FieldType::kChoice:
      return ParseChoice(schema, text);
    case FieldType::kZones:
      return ParseZones(text);
  }
  return Fault(text, "has a type this release does not know");
}

std::string FormatFieldValue(const FieldSchema& schema, const FieldValue& value) {
  switch (schema.type) {
    case FieldType::kInteger:
      return std::to_string(std::get<std::int64_t>(value));
    case FieldType::kRatio:
      return FormatRatio(std::get<double>(value));
    case FieldType::kDuration:
      return FormatDuration(std::get<base::Duration>(value));
    case FieldType::kAddress:
      return std::get<base::SocketAddress>(value).ToString();
    case FieldType::kChoice:
      return std::string(schema.choices[std::get<Choice>(value).index]);
    case FieldType::kZones:
      return FormatZones(std::get<ZoneNames>(value));
  }
  return "";
}

}  // namespace gaugevalve::settings
