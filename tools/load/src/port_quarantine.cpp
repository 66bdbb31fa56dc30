#include "port_quarantine.h"

namespace gaugevalve::load {

void PortQuarantine::Add(std::uint16_t port, base::TimePoint now) {
  if (ports_.insert(port).second) {
    entries_.push_back({port, now + length_});
  }
}

bool PortQuarantine::Holds(std::uint16_t port, base::TimePoint now) {
  while (!entries_.empty() && entries_.front().until <= now) {
    ports_.erase(entries_.front().port);
    entries_.pop_front();
  }
  return ports_.contains(port);
}

}  // namespace gaugevalve::load
