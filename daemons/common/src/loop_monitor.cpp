#include "gaugevalve/daemon/loop_monitor.h"

#include <chrono>
#include <utility>

#include "gaugevalve/telemetry/event.h"

namespace gaugevalve::daemon {
namespace {

constexpr base::Duration kPeriod = std::chrono::milliseconds(100);
// Many times the delay of a loop on a busy machine, and a sixth of the time after which agents take
// each other for silent.
constexpr base::Duration kLeastStall = std::chrono::milliseconds(500);

}  // namespace

LoopMonitor::LoopMonitor(event_base* loop, std::string name, prometheus::Registry& registry)
    : m_name(std::move(name)),
      m_stalls(&prometheus::BuildCounter()
                    .Name("gaugevalve_loop_stalls_total")
                    .Help("Times that a task's loop handled nothing for half a second or more.")
                    .Register(registry)
                    .Add({{"loop", m_name}})),
      m_checked_at(m_clock.Now()),
      m_timer(loop, [this] { Check(); }) {
  m_timer.StartPeriodic(kPeriod);
}

void LoopMonitor::Check() {
  const base::TimePoint now = m_clock.Now();
  const base::Duration late = now - m_checked_at - kPeriod;
  m_checked_at = now;
  if (late >= kLeastStall) {
    m_stalls->Increment();
    telemetry::Event(telemetry::Level::kWarning, "loop_stalled")
        .Field("loop", m_name)
        .Field("late_ms", late / std::chrono::milliseconds(1));
  }
}

}  // namespace gaugevalve::daemon
