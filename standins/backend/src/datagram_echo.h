// The endpoint's UDP port: answers each request with the endpoint's name.
#pragma once

#include <deque>
#include <vector>

#include "endpoint_faults.h"
#include "endpoint_identity.h"
#include "flow_ledger.h"
#include "gaugevalve/base/clock.h"
#include "gaugevalve/tasks/timer.h"
#include "gaugevalve/tasks/udp_batch.h"
#include "gaugevalve/tasks/udp_socket.h"
#include "gaugevalve/tasks/watch.h"

namespace gaugevalve::standins {

// Reads requests, writes the ledger and answers, under the faults in force. Runs on the loop's
// thread; `faults` and `ledger` must outlive it.
class DatagramEcho {
 public:
  // Late answers waiting at most; further ones are dropped, as a full queue on the way would.
  static constexpr std::size_t kMaxDelayedAnswers = 100'000;

  DatagramEcho(event_base* loop, const base::SocketAddress& address, EndpointIdentity identity,
               const EndpointFaults& faults, FlowLedger& ledger);

  // Returns the address bound, with the real port.
  base::SocketAddress BoundAddress() const { return socket_.LocalAddress(); }

 private:
  struct DelayedAnswer {
    base::TimePoint due;
    base::SocketAddress destination;
    std::vector<std::uint8_t> bytes;
  };

  void OnReadable();
  void OnDatagram(std::span<const std::uint8_t> bytes, const base::SocketAddress& source);
  void Answer(std::vector<std::uint8_t> bytes, const base::SocketAddress& destination);
  void SendDueAnswers();

  void Send(std::span<const std::uint8_t> bytes, const base::SocketAddress& destination);

  tasks::UdpSocket socket_;
  tasks::UdpReceiveBatch received_;
  tasks::UdpSendBatch answers_;
  EndpointIdentity identity_;
  const EndpointFaults& faults_;
  FlowLedger& ledger_;
  base::SystemClock clock_;
  std::deque<DelayedAnswer> delayed_;  // in the order of arrival
  tasks::Timer delay_timer_;
  tasks::Watch watch_;
};

}  // namespace gaugevalve::standins
