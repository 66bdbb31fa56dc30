#include "gaugevalve/tasks/timer.h"

#include <stdexcept>
#include <utility>

namespace gaugevalve::tasks {
namespace {

constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;

void CallHandler(evutil_socket_t /*descriptor*/, short /*events*/, void* context) noexcept {
  (*static_cast<Timer::Handler*>(context))();
}

timeval ToTimeval(base::Duration duration) {
  timeval result{};
  result.tv_sec = duration.count() / kMicrosecondsPerSecond;
  result.tv_usec = duration.count() % kMicrosecondsPerSecond;
  return result;
}

}  // namespace

Timer::Timer(event_base* loop, Handler handler)
    : loop_(loop), handler_(std::make_unique<Handler>(std::move(handler))) {
  event_.reset(event_new(loop_, -1, 0, CallHandler, handler_.get()));
  if (!event_) {
    throw std::runtime_error("libevent can't make a timer");
  }
}

void Timer::StartPeriodic(base::Duration period) { Start(period, EV_PERSIST); }

void Timer::StartOnce(base::Duration delay) { Start(delay, 0); }

void Timer::Cancel() { event_del(event_.get()); }

void Timer::Start(base::Duration interval, short flags) {
  event_del(event_.get());
  event_assign(event_.get(), loop_, -1, flags, CallHandler, handler_.get());
  const timeval period = ToTimeval(interval);
  event_add(event_.get(), &period);
}

}  // namespace gaugevalve::tasks
