// The event loop of a program that serves until it is told to end.
#pragma once

#include "gaugevalve/tasks/task.h"
#include "gaugevalve/tasks/watch.h"

namespace gaugevalve::standins {

// A loop on the caller's thread that ends at SIGTERM or SIGINT. One in a process, as libevent hands
// a signal to one loop only.
class ProgramLoop {
 public:
  // Throws std::runtime_error when the system refuses a loop.
  ProgramLoop();

  // Returns the loop; owned by this object.
  event_base* Get() const { return loop_.get(); }

  // Runs the loop until one of the signals has come.
  void Run() { event_base_dispatch(loop_.get()); }

 private:
  void End() { event_base_loopbreak(loop_.get()); }

  tasks::LoopPointer loop_;
  tasks::Watch terminate_watch_;
  tasks::Watch interrupt_watch_;
};

}  // namespace gaugevalve::standins
