#include "gaugevalve/telemetry/logging.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include "native_level.h"

namespace gaugevalve::telemetry {
namespace {

// UTC time with milliseconds, then the level, then the event's own text.
constexpr char kPattern[] = "time=%d{%Y-%m-%dT%H:%M:%S.%qZ} level=%p %m%n";

}  // namespace

LoggingSession::LoggingSession(Level lowest_level) {
  // log4cplus can be set up once in a process, so this outlives the session.
  static const log4cplus::Initializer initializer;
  constexpr bool kLogToStandardError = true;
  constexpr bool kFlushEachLine = true;
  log4cplus::SharedAppenderPtr appender(
      new log4cplus::ConsoleAppender(kLogToStandardError, kFlushEachLine));
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(kPattern));
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  root.setLogLevel(NativeLevel(lowest_level));
}

LoggingSession::~LoggingSession() { log4cplus::Logger::getRoot().removeAllAppenders(); }

std::optional<Level> ParseLevel(std::string_view name) {
  if (name == "debug") {
    return Level::kDebug;
  }
  if (name == "info") {
    return Level::kInfo;
  }
  if (name == "warning") {
    return Level::kWarning;
  }
  if (name == "error") {
    return Level::kError;
  }
  return std::nullopt;
}

}  // namespace gaugevalve::telemetry
