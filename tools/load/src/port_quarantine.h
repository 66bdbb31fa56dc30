// Source ports of ended flows, which no other flow may have for a while.
#pragma once

#include <cstdint>
#include <deque>
#include <unordered_set>

#include "gaugevalve/base/time.h"

namespace gaugevalve::load {

// A late answer to an ended flow, as from a balancer that was frozen, reaches whoever has its port
// by then and would look crossed there. Knows each port at most once, so it is bounded by their
// number. Decision core; not thread-safe.
class PortQuarantine {
 public:
  // `length`: for how long a port is held back; above every delay of the network under test.
  explicit PortQuarantine(base::Duration length) : length_(length) {}

  // Takes the port of a flow that ends now.
  void Add(std::uint16_t port, base::TimePoint now);

  // Tells whether a new flow must not have this port.
  bool Holds(std::uint16_t port, base::TimePoint now);

 private:
  struct Entry {
    std::uint16_t port;
    base::TimePoint until;
  };

  base::Duration length_;
  std::deque<Entry> entries_;  // oldest first
  std::unordered_set<std::uint16_t> ports_;
};

}  // namespace gaugevalve::load
