/// @file
/// The form of a log line.
#pragma once

#include <log4cplus/layout.h>

namespace gaugevalve::telemetry {

/// Writes time of day, steady time, level and the event's own text. The steady time tells how long
/// lies between two lines of a process whose time of day has been set in between.
class LineLayout final : public log4cplus::Layout {
 public:
  LineLayout();

  void formatAndAppend(log4cplus::tostream& output,
                       const log4cplus::spi::InternalLoggingEvent& event) override;

 private:
  log4cplus::PatternLayout m_time;
  log4cplus::PatternLayout m_rest;
};

}  // namespace gaugevalve::telemetry
