#include "gaugevalve/daemon/shutdown_signals.h"

#include <csignal>
#include <utility>

namespace gaugevalve::daemon {

ShutdownSignals::ShutdownSignals(event_base* loop, Handler drain, Handler stop)
    : drain_(std::move(drain)),
      stop_(std::move(stop)),
      terminate_watch_(tasks::Watch::Signal(loop, SIGTERM, [this] { OnSignal(); })),
      interrupt_watch_(tasks::Watch::Signal(loop, SIGINT, [this] { OnSignal(); })) {}

void ShutdownSignals::OnSignal() {
  if (is_draining_) {
    stop_();
    return;
  }
  is_draining_ = true;
  drain_();
}

}  // namespace gaugevalve::daemon
