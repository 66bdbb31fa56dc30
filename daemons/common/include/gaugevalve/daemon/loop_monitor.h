/// @file
/// Notices when a task's loop stands still.
#pragma once

#include <event2/event.h>

#include <string>

#include "gaugevalve/base/clock.h"
#include "gaugevalve/tasks/timer.h"
#include "prometheus/counter.h"
#include "prometheus/registry.h"

namespace gaugevalve::daemon {

/// Runs a periodic timer on a loop. When it fires late by half a second or more, the loop handled
/// nothing meanwhile: the metric `gaugevalve_loop_stalls_total` and the event `loop_stalled` say
/// so.
class LoopMonitor {
 public:
  /// `loop` must outlive this. `name` is the metric's label, such as "data".
  LoopMonitor(event_base* loop, std::string name, prometheus::Registry& registry);

 private:
  void Check();

  base::SystemClock m_clock;
  std::string m_name;
  prometheus::Counter* m_stalls;
  base::TimePoint m_checked_at{};
  tasks::Timer m_timer;
};

}  // namespace gaugevalve::daemon
