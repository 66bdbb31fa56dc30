// Where shells get the time from; decision cores take it as an argument instead.
#pragma once

#include <cstdint>

#include "gaugevalve/base/time.h"

namespace gaugevalve::base {

// Source of monotonic time. Implementations never go backwards.
class Clock {
 public:
  virtual ~Clock() = default;

  // Returns the present time. Thread-safe.
  virtual TimePoint Now() const = 0;
};

// The machine's monotonic clock (CLOCK_MONOTONIC), which goes on while a process is stopped: a
// process that was frozen sees on waking that its leases have run out.
class SystemClock final : public Clock {
 public:
  TimePoint Now() const override;
};

// Returns the time of day as Unix milliseconds. It may jump either way: only for what others state
// in these terms. Thread-safe.
std::uint64_t UnixMilliseconds();

// A clock that stands still until told otherwise, for tests and the emulator. Not thread-safe.
class ManualClock final : public Clock {
 public:
  TimePoint Now() const override { return now_; }

  // Moves the clock forward by `step` (not negative).
  void Advance(Duration step) { now_ += step; }

 private:
  TimePoint now_{};
};

}  // namespace gaugevalve::base
