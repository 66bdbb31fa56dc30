#include "line_layout.h"

#include <chrono>

namespace gaugevalve::telemetry {
namespace {

// UTC with milliseconds.
constexpr char kTimePattern[] = "time=%d{%Y-%m-%dT%H:%M:%S.%qZ} ";
constexpr char kRestPattern[] = " level=%p %m%n";

}  // namespace

LineLayout::LineLayout() : m_time(kTimePattern), m_rest(kRestPattern) {}

void LineLayout::formatAndAppend(log4cplus::tostream& output,
                                 const log4cplus::spi::InternalLoggingEvent& event) {
  const auto steady = std::chrono::steady_clock::now().time_since_epoch();
  m_time.formatAndAppend(output, event);
  output << "steady_us=" << std::chrono::duration_cast<std::chrono::microseconds>(steady).count();
  m_rest.formatAndAppend(output, event);
}

}  // namespace gaugevalve::telemetry
