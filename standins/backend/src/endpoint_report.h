// What the endpoint says of itself at /load or /health, truthful or not.
#pragma once

#include <cstddef>
#include <deque>

#include "endpoint_faults.h"
#include "gaugevalve/base/time.h"

namespace gaugevalve::standins {

// The state of an endpoint at one time.
struct EndpointState {
  bool is_healthy = true;
  std::size_t slots = 0;
  std::size_t busy = 0;
  std::size_t waiting = 0;
  std::size_t connections = 0;

  friend bool operator==(const EndpointState&, const EndpointState&) = default;
};

// Keeps the endpoint's past states and shows one of them, as the report's fault asks for. Remembers
// kMaxHistory states; a lag that reaches further back shows the oldest.
class EndpointReport {
 public:
  static constexpr std::size_t kMaxHistory = 10'000;

  // Notes the true state, unless the report is frozen. To be called at regular times.
  void Record(const EndpointState& state, ReportFault fault, base::TimePoint now);

  // Returns what the report says at `now`: a default state before the first Record().
  EndpointState Show(ReportFault fault, base::Duration lag, base::TimePoint now) const;

 private:
  struct Entry {
    base::TimePoint time;
    EndpointState state;
  };

  EndpointState Latest() const;
  EndpointState StateAt(base::TimePoint time) const;

  std::deque<Entry> history_;  // oldest first
};

}  // namespace gaugevalve::standins
