// Holds datagrams until they are due.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <vector>

#include "gaugevalve/base/clock.h"
#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/tasks/timer.h"

namespace gaugevalve::standins {

// A datagram on its way.
struct DatagramInTransit {
  int descriptor = -1;  // the socket to send from, owned by the fabric
  base::SocketAddress destination;
  std::vector<std::uint8_t> bytes;
};

// Hands each datagram to `deliver` when its time has come. Bounded: when kCapacity are held, Hold()
// refuses. Runs on the loop's thread.
class DelayLine {
 public:
  static constexpr std::size_t kCapacity = 100'000;

  using Deliver = std::function<void(const DatagramInTransit&)>;

  DelayLine(event_base* loop, Deliver deliver);

  // Keeps the datagram for `delay`; false when there is no room, and it is lost.
  bool Hold(DatagramInTransit datagram, base::Duration delay);

 private:
  struct Entry {
    base::TimePoint due;
    std::uint64_t order;  // of arrival, so equal times keep it
    DatagramInTransit datagram;
  };
  struct Later {
    bool operator()(const Entry& left, const Entry& right) const {
      return std::tie(left.due, left.order) > std::tie(right.due, right.order);
    }
  };

  void DeliverDue();

  Deliver deliver_;
  base::SystemClock clock_;
  std::priority_queue<Entry, std::vector<Entry>, Later> entries_;
  std::uint64_t arrivals_ = 0;
  tasks::Timer timer_;
};

}  // namespace gaugevalve::standins
