#include "gaugevalve/tasks/wake_event.h"

#include <sys/eventfd.h>

#include <cerrno>
#include <system_error>

namespace gaugevalve::tasks {

WakeEvent::WakeEvent() : descriptor_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  if (descriptor_.Get() < 0) {
    throw std::system_error(errno, std::generic_category(), "eventfd");
  }
}

void WakeEvent::Signal() {
  if (!signalled_.exchange(true, std::memory_order_acq_rel)) {
    eventfd_write(descriptor_.Get(), 1);
  }
}

void WakeEvent::Acknowledge() {
  // The descriptor is emptied first: were it emptied after the flag is cleared, a signal between
  // the two would be swallowed.
  eventfd_t ignored = 0;
  eventfd_read(descriptor_.Get(), &ignored);
  signalled_.exchange(false, std::memory_order_acq_rel);
}

}  // namespace gaugevalve::tasks
