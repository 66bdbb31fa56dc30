// Set-up of the process's log.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "gaugevalve/telemetry/event.h"

namespace gaugevalve::telemetry {

// Starts logging to standard error and stops it when destroyed. One lives in main(); events
// written while none lives are dropped.
class LoggingSession {
 public:
  // Events below `lowest_level` are not written.
  explicit LoggingSession(Level lowest_level);

  // The same to an open descriptor, which stays the caller's. Nothing ever waits for it: a line
  // that a slow or closed reader has no room for is lost and counted.
  LoggingSession(Level lowest_level, int descriptor);

  ~LoggingSession();
  LoggingSession(const LoggingSession&) = delete;
  LoggingSession& operator=(const LoggingSession&) = delete;
};

// Returns how many lines the present session's descriptor had no room for; 0 without one.
std::uint64_t LogLinesLost();

// Returns the level with this name ("debug", "info", "warning", "error"); nothing for another.
std::optional<Level> ParseLevel(std::string_view name);

}  // namespace gaugevalve::telemetry
