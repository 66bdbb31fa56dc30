#include "endpoint.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace gaugevalve::lab {

Endpoint::Endpoint(simulation::EventQueue& queue, const EndpointCapacity& capacity,
                   base::TimePoint started_at, WaitListener on_start)
    : queue_(queue),
      capacity_(capacity),
      started_at_(started_at),
      on_start_(std::move(on_start)),
      integrated_until_(started_at) {}

double Endpoint::Load() const {
  return static_cast<double>(busy_ + waiting_.size()) / capacity_.slots;
}

double Endpoint::BusySlotSeconds() const {
  const std::chrono::duration<double> since = queue_.Now() - integrated_until_;
  return busy_slot_seconds_ + busy_ * since.count();
}

void Endpoint::Integrate() {
  busy_slot_seconds_ = BusySlotSeconds();
  integrated_until_ = queue_.Now();
}

double Endpoint::Slowdown() const {
  const base::Duration age = queue_.Now() - started_at_;
  if (age >= capacity_.cold_time) {
    return slowness_;
  }
  const double cold_part =
      1.0 - static_cast<double>(age.count()) / static_cast<double>(capacity_.cold_time.count());
  return slowness_ * (1.0 + (capacity_.cold_slowdown - 1.0) * cold_part);
}

void Endpoint::Run(base::Duration service_time) {
  if (killed_) {
    return;
  }
  if (busy_ < capacity_.slots) {
    Start(service_time, base::Duration::zero());
  } else {
    waiting_.push_back({service_time, queue_.Now()});
  }
}

void Endpoint::Start(base::Duration service_time, base::Duration waited) {
  Integrate();
  ++busy_;
  on_start_(waited);
  const auto slowed =
      static_cast<base::Duration::rep>(static_cast<double>(service_time.count()) * Slowdown());
  queue_.Schedule(queue_.Now() + base::Duration(slowed), [this] { Finish(); });
}

void Endpoint::Finish() {
  if (killed_) {
    return;
  }
  Integrate();
  --busy_;
  if (!waiting_.empty()) {
    const Waiting next = waiting_.front();
    waiting_.pop_front();
    Start(next.service_time, queue_.Now() - next.since);
  }
}

void Endpoint::Kill() {
  Integrate();
  killed_ = true;
  busy_ = 0;
  waiting_.clear();
}

}  // namespace gaugevalve::lab
