// Events of a libevent loop as objects: descriptors and signals.
#pragma once

#include <event2/event.h>

#include <functional>
#include <memory>

namespace gaugevalve::tasks {

// Calls a handler in the loop's thread for as long as the object lives. The handler must not throw
// (an exception can't cross libevent; it ends the process) and must not destroy its own Watch.
class Watch {
 public:
  using Handler = std::function<void()>;

  // Watches `descriptor` for reading. The descriptor stays the caller's and must outlive the Watch.
  static Watch Readable(event_base* loop, int descriptor, Handler handler);

  // Watches for the signal `signal_number`, in one loop of the process only (libevent's rule).
  static Watch Signal(event_base* loop, int signal_number, Handler handler);

 private:
  struct EventDeleter {
    void operator()(event* handle) const { event_free(handle); }
  };

  Watch(event_base* loop, int descriptor, short events, Handler handler);

  std::unique_ptr<Handler> handler_;  // at a stable place: libevent keeps a pointer to it
  std::unique_ptr<event, EventDeleter> event_;
};

}  // namespace gaugevalve::tasks
