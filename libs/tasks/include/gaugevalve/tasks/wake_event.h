// Wakes an event loop from another thread.
#pragma once

#include <atomic>

#include "gaugevalve/tasks/file_descriptor.h"

namespace gaugevalve::tasks {

// An eventfd that is written at most once between two wake-ups, so a burst of signals costs one
// system call. Any thread may signal; one thread waits and acknowledges.
class WakeEvent {
 public:
  // Throws std::system_error when the system has no descriptor left.
  WakeEvent();

  // Makes the descriptor readable. What the caller wrote before is visible to the thread that
  // acknowledges. Lock-free; never blocks.
  void Signal();

  // Takes the signal back. Call before looking at what was signalled, never after: a signal that
  // comes later makes the descriptor readable again.
  void Acknowledge();

  // Returns the descriptor to watch for reading.
  int Descriptor() const { return descriptor_.Get(); }

 private:
  FileDescriptor descriptor_;
  std::atomic<bool> signalled_ = false;
};

}  // namespace gaugevalve::tasks
