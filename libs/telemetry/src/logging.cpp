#include "gaugevalve/telemetry/logging.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>

#include "descriptor_appender.h"
#include "line_layout.h"
#include "native_level.h"

namespace gaugevalve::telemetry {
namespace {

// The descriptor's appender of the present session, or null. Set before other threads log.
DescriptorAppender* descriptor_appender = nullptr;

void StartLogging(Level lowest_level, const log4cplus::SharedAppenderPtr& appender) {
  appender->setLayout(std::make_unique<LineLayout>());
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  root.setLogLevel(NativeLevel(lowest_level));
}

// log4cplus can be set up once in a process, so this outlives the session.
void InitializeOnce() { static const log4cplus::Initializer initializer; }

}  // namespace

LoggingSession::LoggingSession(Level lowest_level) {
  InitializeOnce();
  constexpr bool kLogToStandardError = true;
  constexpr bool kFlushEachLine = true;
  StartLogging(lowest_level, log4cplus::SharedAppenderPtr(new log4cplus::ConsoleAppender(
                                 kLogToStandardError, kFlushEachLine)));
}

LoggingSession::LoggingSession(Level lowest_level, int descriptor) {
  InitializeOnce();
  descriptor_appender = new DescriptorAppender(descriptor);  // the shared pointer owns it
  StartLogging(lowest_level, log4cplus::SharedAppenderPtr(descriptor_appender));
}

LoggingSession::~LoggingSession() {
  descriptor_appender = nullptr;
  log4cplus::Logger::getRoot().removeAllAppenders();
}

std::uint64_t LogLinesLost() {
  return descriptor_appender == nullptr ? 0 : descriptor_appender->LinesLost();
}

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
