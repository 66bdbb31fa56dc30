// The yardstick: the least that a program can do to pass datagrams on.
#pragma once

#include <atomic>
#include <cstdint>

#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/tasks/udp_socket.h"

namespace gaugevalve::benchmark {

// One recvmmsg, one sendmmsg of the same buffers to a fixed address, and again. It looks at
// nothing.
class BareRelay {
 public:
  // Binds a port of the system's choice on loopback.
  explicit BareRelay(const base::SocketAddress& destination);

  base::SocketAddress Address() const { return socket_.LocalAddress(); }

  // Relays until `stop` is set, waiting for input as the balancer's loop does.
  void Run(const std::atomic<bool>& stop);

 private:
  tasks::UdpSocket socket_;
  base::SocketAddress destination_;
};

}  // namespace gaugevalve::benchmark
