/// @file
/// A bound UDP socket on a loop: hands each datagram to its owner and sends in batches.
#pragma once

#include <event2/event.h>

#include <functional>
#include <span>

#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/tasks/udp_batch.h"
#include "gaugevalve/tasks/udp_socket.h"
#include "gaugevalve/tasks/watch.h"

namespace gaugevalve::tasks {

/// Not thread-safe: everything runs on the loop's thread.
class DatagramPort {
 public:
  /// Gets a datagram, which it may change in place; valid during the call.
  using Handler =
      std::function<void(std::span<std::uint8_t> datagram, const base::SocketAddress& sender)>;

  /// @param on_batch_end  called after each batch of datagrams: flush what was queued
  /// @throws std::system_error naming the address when it can't be bound
  DatagramPort(event_base* loop, const base::SocketAddress& address, Handler handler,
               std::function<void()> on_batch_end);

  /// Queues `header`, then `payload`, which must stay valid until Flush().
  void Queue(const base::SocketAddress& destination, std::span<const std::uint8_t> header,
             std::span<const std::uint8_t> payload);

  void Flush();

  /// Sends one datagram now.
  void Send(const base::SocketAddress& destination, std::span<const std::uint8_t> datagram);

 private:
  void ReceiveAll();

  UdpSocket m_socket;
  Handler m_handler;
  std::function<void()> m_on_batch_end;
  UdpReceiveBatch m_received;
  UdpSendBatch m_queued;
  bool m_has_queued = false;
  Watch m_watch;
};

}  // namespace gaugevalve::tasks
