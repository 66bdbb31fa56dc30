#include "gaugevalve/tasks/watch.h"

#include <stdexcept>
#include <utility>

namespace gaugevalve::tasks {
namespace {

void CallHandler(evutil_socket_t /*descriptor*/, short /*events*/, void* context) noexcept {
  (*static_cast<Watch::Handler*>(context))();
}

}  // namespace

Watch Watch::Readable(event_base* loop, int descriptor, Handler handler) {
  return {loop, descriptor, EV_READ | EV_PERSIST, std::move(handler)};
}

Watch Watch::Signal(event_base* loop, int signal_number, Handler handler) {
  return {loop, signal_number, EV_SIGNAL | EV_PERSIST, std::move(handler)};
}

Watch::Watch(event_base* loop, int descriptor, short events, Handler handler)
    : handler_(std::make_unique<Handler>(std::move(handler))),
      event_(event_new(loop, descriptor, events, CallHandler, handler_.get())) {
  if (!event_ || event_add(event_.get(), nullptr) != 0) {
    throw std::runtime_error("libevent can't watch this descriptor or signal");
  }
}

}  // namespace gaugevalve::tasks
