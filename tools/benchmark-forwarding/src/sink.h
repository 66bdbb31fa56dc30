// Takes in what was forwarded and counts it.
#pragma once

#include <atomic>
#include <cstdint>
#include <thread>

#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/tasks/udp_socket.h"

namespace gaugevalve::benchmark {

// A thread that empties one socket, bound to all loopback addresses at one port, so that it stands
// for any number of agents.
class Sink {
 public:
  Sink();
  ~Sink();
  Sink(const Sink&) = delete;
  Sink& operator=(const Sink&) = delete;

  // Returns the address of the agent with this number, from 0: 127.0.0.1, 127.0.0.2, ...
  base::SocketAddress AddressOf(std::uint32_t agent) const;

  // Returns how many datagrams have come so far. Any thread.
  std::uint64_t Count() const { return count_.load(std::memory_order_relaxed); }

 private:
  void Run();

  tasks::UdpSocket socket_;
  std::atomic<std::uint64_t> count_ = 0;
  std::atomic<bool> stop_ = false;
  std::thread thread_;
};

}  // namespace gaugevalve::benchmark
