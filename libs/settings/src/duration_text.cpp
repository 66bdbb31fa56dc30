#include "gaugevalve/settings/duration_text.h"

#include <array>
#include <charconv>
#include <cstdint>
#include <limits>
#include <system_error>

#include "absl/strings/str_cat.h"

namespace gaugevalve::settings {
namespace {

struct Unit {
  std::string_view name;
  std::int64_t microseconds;
};

constexpr std::array<Unit, 5> kUnits{
    {{"h", 3'600'000'000}, {"m", 60'000'000}, {"s", 1'000'000}, {"ms", 1'000}, {"us", 1}}};

}  // namespace

std::optional<base::Duration> ParseDuration(std::string_view text) {
  std::int64_t count = 0;
  const char* const end = text.data() + text.size();
  const std::from_chars_result number = std::from_chars(text.data(), end, count);
  if (number.ec != std::errc() || count < 0) {
    return std::nullopt;
  }
  const std::string_view unit_name(number.ptr, static_cast<std::size_t>(end - number.ptr));
  for (const Unit& unit : kUnits) {
    if (unit.name != unit_name) {
      continue;
    }
    if (count > std::numeric_limits<std::int64_t>::max() / unit.microseconds) {
      return std::nullopt;
    }
    return base::Duration(count * unit.microseconds);
  }
  return std::nullopt;
}

std::string FormatDuration(base::Duration duration) {
  if (duration.count() == 0) {
    return "0s";
  }
  for (const Unit& unit : kUnits) {
    if (duration.count() % unit.microseconds == 0) {
      const std::string_view name = unit.name;
      return absl::StrCat(duration.count() / unit.microseconds).append(name);
    }
  }
  return absl::StrCat(duration.count(), "us");
}

}  // namespace gaugevalve::settings
