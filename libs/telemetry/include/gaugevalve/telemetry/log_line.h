/// @file
/// Reading of log lines as Event writes them.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace gaugevalve::telemetry {

/// One event, read back.
struct LogLine {
  std::string prefix;          ///< what a collector put before the line, as a node's name
  std::int64_t time_ms = 0;    ///< time of day since 1970, UTC
  std::int64_t steady_us = 0;  ///< of the process's steady clock
  std::string level;
  std::string event;
  std::map<std::string, std::string, std::less<>> fields;  ///< unquoted; without those above

  /// Returns a field's value, or nothing.
  std::optional<std::string_view> Find(std::string_view key) const;

  /// Returns a field's value, or an empty text.
  std::string_view Get(std::string_view key) const { return Find(key).value_or(""); }
};

/// Returns the event of a line, or nothing when the line isn't one.
std::optional<LogLine> ParseLogLine(std::string_view line);

}  // namespace gaugevalve::telemetry
