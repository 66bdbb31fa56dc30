#include "gaugevalve/telemetry/log_line.h"

#include <charconv>
#include <chrono>
#include <utility>

namespace gaugevalve::telemetry {
namespace {

constexpr std::string_view kTimeKey = "time=";

// Takes a number off the front of `text`, and then the letter `end`.
std::optional<int> TakeNumber(std::string_view& text, char end) {
  int number = 0;
  const auto [rest, fault] = std::from_chars(text.data(), text.data() + text.size(), number);
  const auto size = static_cast<std::size_t>(rest - text.data());
  if (fault != std::errc() || size >= text.size() || text[size] != end) {
    return std::nullopt;
  }
  text.remove_prefix(size + 1);
  return number;
}

// Reads 2026-03-16T10:21:51.017Z.
std::optional<std::int64_t> ParseTime(std::string_view text) {
  const auto year = TakeNumber(text, '-');
  const auto month = year ? TakeNumber(text, '-') : std::nullopt;
  const auto day = month ? TakeNumber(text, 'T') : std::nullopt;
  const auto hour = day ? TakeNumber(text, ':') : std::nullopt;
  const auto minute = hour ? TakeNumber(text, ':') : std::nullopt;
  const auto second = minute ? TakeNumber(text, '.') : std::nullopt;
  const auto millisecond = second ? TakeNumber(text, 'Z') : std::nullopt;
  if (!millisecond) {
    return std::nullopt;
  }
  const std::chrono::year_month_day date(std::chrono::year(*year),
                                         std::chrono::month(static_cast<unsigned>(*month)),
                                         std::chrono::day(static_cast<unsigned>(*day)));
  if (!date.ok()) {
    return std::nullopt;
  }
  const auto time = std::chrono::sys_days(date) + std::chrono::hours(*hour) +
                    std::chrono::minutes(*minute) + std::chrono::seconds(*second) +
                    std::chrono::milliseconds(*millisecond);
  return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

int HexDigit(char letter) {
  if (letter >= '0' && letter <= '9') {
    return letter - '0';
  }
  constexpr int kTen = 10;
  return letter >= 'a' && letter <= 'f' ? letter - 'a' + kTen : -1;
}

// Takes one letter, or what stands for one behind a backslash.
std::optional<char> TakeEscaped(std::string_view& text) {
  if (text.empty()) {
    return std::nullopt;
  }
  const char letter = text.front();
  text.remove_prefix(1);
  if (letter == 'n') {
    return '\n';
  }
  if (letter != 'x') {
    return letter;
  }
  constexpr unsigned kBitsPerDigit = 4;
  const int high = text.size() >= 2 ? HexDigit(text[0]) : -1;
  const int low = text.size() >= 2 ? HexDigit(text[1]) : -1;
  if (high < 0 || low < 0) {
    return std::nullopt;
  }
  text.remove_prefix(2);
  return static_cast<char>((static_cast<unsigned>(high) << kBitsPerDigit) |
                           static_cast<unsigned>(low));
}

// Takes a quoted value, whose opening quote is gone, up to and with the closing one.
std::optional<std::string> TakeQuoted(std::string_view& text) {
  std::string value;
  while (!text.empty()) {
    const char letter = text.front();
    text.remove_prefix(1);
    if (letter == '"') {
      return value;
    }
    const std::optional<char> plain = letter == '\\' ? TakeEscaped(text) : std::optional(letter);
    if (!plain) {
      return std::nullopt;
    }
    value += *plain;
  }
  return std::nullopt;  // the line was cut
}

std::string TakePlain(std::string_view& text) {
  const std::size_t end = std::min(text.find(' '), text.size());
  std::string value(text.substr(0, end));
  text.remove_prefix(end);
  return value;
}

// Takes one field; nothing at the line's end and where it isn't one.
std::optional<std::pair<std::string, std::string>> TakeField(std::string_view& text) {
  while (!text.empty() && text.front() == ' ') {
    text.remove_prefix(1);
  }
  const std::size_t separator = text.find('=');
  if (separator == std::string_view::npos || separator == 0) {
    return std::nullopt;
  }
  std::string key(text.substr(0, separator));
  text.remove_prefix(separator + 1);
  if (text.empty() || text.front() != '"') {
    return std::pair(std::move(key), TakePlain(text));
  }
  text.remove_prefix(1);
  std::optional<std::string> value = TakeQuoted(text);
  return value ? std::optional(std::pair(std::move(key), *std::move(value))) : std::nullopt;
}

std::string TakeOut(LogLine& line, std::string_view key) {
  const auto found = line.fields.find(key);
  if (found == line.fields.end()) {
    return "";
  }
  std::string value = std::move(found->second);
  line.fields.erase(found);
  return value;
}

}  // namespace

std::optional<std::string_view> LogLine::Find(std::string_view key) const {
  const auto found = fields.find(key);
  return found == fields.end() ? std::nullopt : std::optional<std::string_view>(found->second);
}

std::optional<LogLine> ParseLogLine(std::string_view text) {
  while (!text.empty() && (text.back() == '\n' || text.back() == '\r')) {
    text.remove_suffix(1);
  }
  const std::size_t begin = text.find(kTimeKey);
  if (begin == std::string_view::npos) {
    return std::nullopt;
  }
  LogLine line;
  line.prefix = text.substr(0, begin);
  text.remove_prefix(begin);
  while (auto field = TakeField(text)) {
    line.fields.insert_or_assign(std::move(field->first), std::move(field->second));
  }
  const std::optional<std::int64_t> time = ParseTime(TakeOut(line, "time"));
  const std::string steady = TakeOut(line, "steady_us");
  std::from_chars(steady.data(), steady.data() + steady.size(), line.steady_us);
  line.level = TakeOut(line, "level");
  line.event = TakeOut(line, "event");
  if (!time || line.event.empty()) {
    return std::nullopt;
  }
  line.time_ms = *time;
  return line;
}

}  // namespace gaugevalve::telemetry
