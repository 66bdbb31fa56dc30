#include "delay_line.h"

#include <utility>

namespace gaugevalve::standins {

DelayLine::DelayLine(event_base* loop, Deliver deliver)
    : deliver_(std::move(deliver)), timer_(loop, [this] { DeliverDue(); }) {}

bool DelayLine::Hold(DatagramInTransit datagram, base::Duration delay) {
  if (entries_.size() >= kCapacity) {
    return false;
  }
  const base::TimePoint due = clock_.Now() + delay;
  const bool is_next = entries_.empty() || due < entries_.top().due;
  entries_.push({due, arrivals_++, std::move(datagram)});
  if (is_next) {
    timer_.StartOnce(delay);
  }
  return true;
}

void DelayLine::DeliverDue() {
  const base::TimePoint now = clock_.Now();
  while (!entries_.empty() && entries_.top().due <= now) {
    deliver_(entries_.top().datagram);
    entries_.pop();
  }
  if (!entries_.empty()) {
    timer_.StartOnce(entries_.top().due - now);
  }
}

}  // namespace gaugevalve::standins
