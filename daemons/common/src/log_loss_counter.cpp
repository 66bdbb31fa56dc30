#include "gaugevalve/daemon/log_loss_counter.h"

#include "gaugevalve/daemon/reason_counters.h"
#include "gaugevalve/telemetry/logging.h"

namespace gaugevalve::daemon {

LogLossCounter::LogLossCounter(prometheus::Registry& registry)
    : m_counter(&MakeCounter(registry, "gaugevalve_log_lines_lost_total",
                             "Log lines that the log's reader had no room for.")) {}

void LogLossCounter::Update() {
  const std::uint64_t lost = telemetry::LogLinesLost();
  m_counter->Increment(static_cast<double>(lost - m_counted));
  m_counted = lost;
}

}  // namespace gaugevalve::daemon
