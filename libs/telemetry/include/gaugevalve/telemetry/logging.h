// Set-up of the process's log.
#pragma once

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
  ~LoggingSession();
  LoggingSession(const LoggingSession&) = delete;
  LoggingSession& operator=(const LoggingSession&) = delete;
};

// Returns the level with this name ("debug", "info", "warning", "error"); nothing for another.
std::optional<Level> ParseLevel(std::string_view name);

}  // namespace gaugevalve::telemetry
