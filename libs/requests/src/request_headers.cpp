#include "gaugevalve/requests/request_headers.h"

#include <algorithm>
#include <charconv>
#include <system_error>

namespace gaugevalve::requests {
namespace {

constexpr std::size_t kMaxTimeoutDigits = 8;  // gRPC over HTTP/2, "TimeoutValue"
constexpr std::size_t kUuidLength = 36;       // RFC 9562, section 4
constexpr std::size_t kUuidVersionPosition = 14;
constexpr std::size_t kUuidTimeHighDigits = 8;
constexpr std::size_t kUuidTimeLowDigits = 4;

// A unit in microseconds; the divisor expresses nanoseconds.
struct TimeUnit {
  std::int64_t microseconds = 0;
  std::int64_t divisor = 1;
};

std::optional<TimeUnit> UnitOf(char letter) {
  switch (letter) {
    case 'H':
      return TimeUnit{3'600'000'000, 1};
    case 'M':
      return TimeUnit{60'000'000, 1};
    case 'S':
      return TimeUnit{1'000'000, 1};
    case 'm':
      return TimeUnit{1'000, 1};
    case 'u':
      return TimeUnit{1, 1};
    case 'n':
      return TimeUnit{1, 1'000};
    default:
      return std::nullopt;
  }
}

std::optional<std::uint64_t> ParseNumber(std::string_view digits, int base) {
  std::uint64_t number = 0;
  const char* const end = digits.data() + digits.size();
  const std::from_chars_result result = std::from_chars(digits.data(), end, number, base);
  if (digits.empty() || result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return number;
}

std::string_view WithoutQuotes(std::string_view text) {
  const bool quoted = text.size() >= 2 && text.front() == '"' && text.back() == '"';
  return quoted ? text.substr(1, text.size() - 2) : text;
}

}  // namespace

std::optional<base::Duration> ParseTimeout(std::string_view value) {
  if (value.size() < 2 || value.size() > kMaxTimeoutDigits + 1) {
    return std::nullopt;
  }
  const std::optional<TimeUnit> unit = UnitOf(value.back());
  const std::optional<std::uint64_t> number = ParseNumber(value.substr(0, value.size() - 1), 10);
  if (!unit || !number) {
    return std::nullopt;
  }
  return base::Duration(static_cast<std::int64_t>(*number) * unit->microseconds / unit->divisor);
}

std::string FormatTimeout(base::Duration time) {
  constexpr std::int64_t kMicrosecondsPerMillisecond = 1'000;
  constexpr std::int64_t kMaxMilliseconds = 99'999'999;
  const std::int64_t milliseconds = time.count() / kMicrosecondsPerMillisecond;
  return std::to_string(std::min(std::max<std::int64_t>(milliseconds, 0), kMaxMilliseconds)) + "m";
}

std::uint8_t ParseUrgency(std::string_view value) {
  const std::size_t start = value.find("u=");
  if (start == std::string_view::npos || start + 2 >= value.size()) {
    return kDefaultUrgency;
  }
  const bool own_parameter = start == 0 || value[start - 1] == ',' || value[start - 1] == ' ';
  const char digit = value[start + 2];
  const bool in_range = digit >= '0' && digit <= '0' + kLowestUrgency;
  return own_parameter && in_range ? static_cast<std::uint8_t>(digit - '0') : kDefaultUrgency;
}

std::optional<std::uint64_t> KeyCreationMilliseconds(std::string_view key) {
  const std::string_view uuid = WithoutQuotes(key);
  const bool version_seven = uuid.size() == kUuidLength && uuid[kUuidVersionPosition] == '7' &&
                             uuid[kUuidTimeHighDigits] == '-';
  if (!version_seven) {
    return std::nullopt;
  }
  constexpr int kHexadecimal = 16;
  constexpr unsigned kLowBits = 16;
  const auto high = ParseNumber(uuid.substr(0, kUuidTimeHighDigits), kHexadecimal);
  const auto low =
      ParseNumber(uuid.substr(kUuidTimeHighDigits + 1, kUuidTimeLowDigits), kHexadecimal);
  if (!high || !low) {
    return std::nullopt;
  }
  return (*high << kLowBits) | *low;
}

}  // namespace gaugevalve::requests
