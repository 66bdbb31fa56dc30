// SIGTERM and SIGINT: the first signal starts a drain, the second ends the process.
#pragma once

#include <functional>

#include "gaugevalve/tasks/watch.h"

namespace gaugevalve::daemon {

// Watches both signals in the loop of the main thread.
class ShutdownSignals {
 public:
  using Handler = std::function<void()>;

  // `drain` is called for the first signal, `stop` for each later one.
  ShutdownSignals(event_base* loop, Handler drain, Handler stop);

 private:
  void OnSignal();

  Handler drain_;
  Handler stop_;
  bool is_draining_ = false;
  tasks::Watch terminate_watch_;
  tasks::Watch interrupt_watch_;
};

}  // namespace gaugevalve::daemon
