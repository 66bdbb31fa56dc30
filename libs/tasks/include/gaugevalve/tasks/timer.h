// Timers of a libevent loop.
#pragma once

#include <event2/event.h>

#include <functional>
#include <memory>

#include "gaugevalve/base/time.h"

namespace gaugevalve::tasks {

// Calls a handler in the loop's thread, once or again and again, until cancelled or destroyed. The
// handler must not throw and must not destroy its own Timer; it may start or cancel it.
class Timer {
 public:
  using Handler = std::function<void()>;

  // Makes a timer that is not yet running.
  Timer(event_base* loop, Handler handler);

  // Calls the handler every `period` from now on.
  void StartPeriodic(base::Duration period);

  // Calls the handler once, after `delay`.
  void StartOnce(base::Duration delay);

  // No further call until started again.
  void Cancel();

 private:
  struct EventDeleter {
    void operator()(event* handle) const { event_free(handle); }
  };

  void Start(base::Duration interval, short flags);

  event_base* loop_;
  std::unique_ptr<Handler> handler_;
  std::unique_ptr<event, EventDeleter> event_;
};

}  // namespace gaugevalve::tasks
