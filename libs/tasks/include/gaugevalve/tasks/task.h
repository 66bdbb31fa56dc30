// A task: a thread with a libevent loop that owns its sockets and its state.
#pragma once

#include <event2/event.h>
#include <sys/types.h>

#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "gaugevalve/tasks/wake_event.h"
#include "gaugevalve/tasks/watch.h"

namespace gaugevalve::tasks {

// An event loop without a thread, for a task that runs on the caller's thread (as in main()).
struct LoopDeleter {
  void operator()(event_base* loop) const { event_base_free(loop); }
};
using LoopPointer = std::unique_ptr<event_base, LoopDeleter>;

// Returns a new loop. Throws std::runtime_error when the system refuses one.
LoopPointer MakeLoop();

// Runs a loop on its own thread. Set up watches, timers and inboxes on Loop() before Start(); after
// that only handlers in the loop touch them, so no lock is needed. Other threads reach the task
// through its inboxes and Stop().
class Task {
 public:
  // `name` is the thread's name as the system shows it (its first 15 bytes).
  explicit Task(std::string name);

  // Stops the loop and waits for the thread.
  ~Task();

  Task(const Task&) = delete;
  Task& operator=(const Task&) = delete;

  // Returns the loop; owned by the task. Only from the task's thread once it is started.
  event_base* Loop() const { return loop_.get(); }

  // Returns the clock of the processor time that the thread has used. Between Start() and Join().
  clockid_t ProcessorClock();

  // Starts the thread. At most once.
  void Start();

  // Makes the loop end after the handler it is in. Any thread, also from a handler. Idempotent.
  void Stop();

  // Waits until the thread has ended. Not from the task's own thread.
  void Join();

 private:
  void Run();

  std::string name_;
  LoopPointer loop_;
  WakeEvent stop_event_;
  Watch stop_watch_;
  std::thread thread_;
};

}  // namespace gaugevalve::tasks
