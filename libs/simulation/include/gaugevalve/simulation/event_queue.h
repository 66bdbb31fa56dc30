// The queue of a discrete-event simulation: what happens next, and when.
#pragma once

#include <cstdint>
#include <vector>

#include "absl/functional/any_invocable.h"
#include "gaugevalve/base/time.h"

namespace gaugevalve::simulation {

// Actions in order of time; actions of the same time run in the order they were scheduled, so a run
// depends on nothing but its seed. Not thread-safe.
class EventQueue {
 public:
  using Action = absl::AnyInvocable<void()>;

  // Schedules `action`; a time already past means "next".
  void Schedule(base::TimePoint at, Action action);

  // Moves the time on to the next action and runs it. Returns false when there is none, or none at
  // or before `limit`; then the time is `limit`.
  bool RunNext(base::TimePoint limit);

  base::TimePoint Now() const { return now_; }
  std::uint64_t executed() const { return executed_; }  // NOLINT(readability-identifier-naming)

 private:
  struct Entry {
    base::TimePoint at;
    std::uint64_t sequence;
    Action action;
  };
  struct RunsLater {
    bool operator()(const Entry& left, const Entry& right) const;
  };

  std::vector<Entry> heap_;
  base::TimePoint now_{};
  std::uint64_t next_sequence_ = 0;
  std::uint64_t executed_ = 0;
};

}  // namespace gaugevalve::simulation
