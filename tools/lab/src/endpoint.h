// A back end in simulated time: slots and a first-in-first-out queue.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>

#include "gaugevalve/base/time.h"
#include "gaugevalve/simulation/event_queue.h"

namespace gaugevalve::lab {

// What an endpoint can do.
struct EndpointCapacity {
  std::uint32_t slots = 1;
  double cold_slowdown = 1.0;  // service times at the start, relative to a warm endpoint
  base::Duration cold_time{};  // until it is warm; the slowdown falls linearly
};

// Runs requests and keeps the integral of busy slots over time. Must outlive its events, which the
// queue holds.
class Endpoint {
 public:
  // Called with a request's time in the queue when it starts.
  using WaitListener = std::function<void(base::Duration)>;

  Endpoint(simulation::EventQueue& queue, const EndpointCapacity& capacity,
           base::TimePoint started_at, WaitListener on_start);

  // Takes a request that keeps a slot of a warm endpoint for `service_time`.
  void Run(base::Duration service_time);

  // From now on requests that start take `factor` times as long.
  void SetSlowness(double factor) { slowness_ = factor; }

  // Ends all work at once, without results.
  void Kill();

  std::uint32_t BusySlots() const { return busy_; }
  std::uint32_t QueuedRequests() const { return static_cast<std::uint32_t>(waiting_.size()); }
  std::uint32_t TotalSlots() const { return capacity_.slots; }

  // Returns (busy + queued) / slots.
  double Load() const;

  // Returns the integral of busy slots since the start, in slot seconds.
  double BusySlotSeconds() const;

 private:
  struct Waiting {
    base::Duration service_time;
    base::TimePoint since;
  };

  void Start(base::Duration service_time, base::Duration waited);
  void Finish();
  void Integrate();
  double Slowdown() const;

  simulation::EventQueue& queue_;
  EndpointCapacity capacity_;
  base::TimePoint started_at_;
  WaitListener on_start_;
  std::deque<Waiting> waiting_;
  std::uint32_t busy_ = 0;
  bool killed_ = false;
  double slowness_ = 1.0;
  double busy_slot_seconds_ = 0.0;
  base::TimePoint integrated_until_;
};

}  // namespace gaugevalve::lab
