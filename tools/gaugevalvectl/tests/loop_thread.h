// A thread with an event loop, for servers that a test talks to by calls that wait.
#pragma once

#include <event2/event.h>
#include <event2/thread.h>

#include <functional>
#include <future>
#include <memory>
#include <thread>

namespace gaugevalve::ctl {

// Everything on the loop is made, used and destroyed by Run().
class LoopThread {
 public:
  LoopThread() {
    evthread_use_pthreads();
    base_.reset(event_base_new());
    thread_ = std::thread([this] { event_base_loop(base_.get(), EVLOOP_NO_EXIT_ON_EMPTY); });
  }

  ~LoopThread() {
    event_base_loopbreak(base_.get());
    thread_.join();
  }

  LoopThread(const LoopThread&) = delete;
  LoopThread& operator=(const LoopThread&) = delete;

  event_base* Base() { return base_.get(); }

  // Runs the step on the loop's thread and waits for its end.
  void Run(std::function<void()> step) {
    std::packaged_task<void()> task(std::move(step));
    const timeval at_once{0, 0};
    event_base_once(
        base_.get(), -1, EV_TIMEOUT,
        [](evutil_socket_t, short, void* argument) {
          (*static_cast<std::packaged_task<void()>*>(argument))();
        },
        &task, &at_once);
    task.get_future().get();
  }

 private:
  struct EventBaseDeleter {
    void operator()(event_base* base) const { event_base_free(base); }
  };

  std::unique_ptr<event_base, EventBaseDeleter> base_;
  std::thread thread_;
};

}  // namespace gaugevalve::ctl
