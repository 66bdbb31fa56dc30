// The mapping of our levels to log4cplus's; private to the library.
#pragma once

#include <log4cplus/loglevel.h>

#include "gaugevalve/telemetry/event.h"

namespace gaugevalve::telemetry {

// Returns log4cplus's name for the level.
inline log4cplus::LogLevel NativeLevel(Level level) {
  switch (level) {
    case Level::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case Level::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case Level::kWarning:
      return log4cplus::WARN_LOG_LEVEL;
    case Level::kError:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

}  // namespace gaugevalve::telemetry
