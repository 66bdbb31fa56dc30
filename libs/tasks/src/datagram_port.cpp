#include "gaugevalve/tasks/datagram_port.h"

#include <algorithm>
#include <utility>

namespace gaugevalve::tasks {
namespace {

constexpr std::size_t kBatch = 32;
constexpr int kBatchesPerTurn = 4;
constexpr std::size_t kBufferBytes = std::size_t{1} << 20U;

UdpSocket BindWithBuffers(const base::SocketAddress& address) {
  UdpSocket socket = UdpSocket::Bind(address);
  socket.RequestBufferSize(kBufferBytes);
  return socket;
}

}  // namespace

DatagramPort::DatagramPort(event_base* loop, const base::SocketAddress& address, Handler handler,
                           std::function<void()> on_batch_end)
    : m_socket(BindWithBuffers(address)),
      m_handler(std::move(handler)),
      m_on_batch_end(std::move(on_batch_end)),
      m_received(kBatch),
      m_queued(kBatch),
      m_watch(Watch::Readable(loop, m_socket.Descriptor(), [this] { ReceiveAll(); })) {}

void DatagramPort::Queue(const base::SocketAddress& destination,
                         std::span<const std::uint8_t> header,
                         std::span<const std::uint8_t> payload) {
  if (m_queued.IsFull()) {
    Flush();
  }
  std::copy(header.begin(), header.end(), m_queued.NextHeader().begin());
  m_queued.Append(destination, header.size(), payload);
  m_has_queued = true;
}

void DatagramPort::Flush() {
  if (m_has_queued) {
    m_queued.Flush(m_socket.Descriptor());
    m_has_queued = false;
  }
}

void DatagramPort::Send(const base::SocketAddress& destination,
                        std::span<const std::uint8_t> datagram) {
  Queue(destination, {}, datagram);
  Flush();
}

void DatagramPort::ReceiveAll() {
  for (int turn = 0; turn < kBatchesPerTurn; ++turn) {
    const std::size_t count = m_received.Receive(m_socket.Descriptor());
    for (std::size_t index = 0; index < count; ++index) {
      const std::span<const std::uint8_t> datagram = m_received.Datagram(index);
      // The batch's buffers aren't const; its view of them is.
      const std::span<std::uint8_t> writable(const_cast<std::uint8_t*>(datagram.data()),
                                             datagram.size());
      if (!m_received.IsTruncated(index)) {
        m_handler(writable, m_received.Sender(index));
      }
    }
    m_on_batch_end();
    if (count < kBatch) {
      return;
    }
  }
}

}  // namespace gaugevalve::tasks
