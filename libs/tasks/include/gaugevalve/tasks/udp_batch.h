// Many datagrams in one system call: recvmmsg and sendmmsg.
#pragma once

#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "gaugevalve/base/socket_address.h"

namespace gaugevalve::tasks {

// Largest datagram that the data path takes, bytes. Callers' datagrams fit an Ethernet frame of
// 1,500 bytes; the rest is for PROXY headers, and room to see that one is too long.
inline constexpr std::size_t kMaxDatagramSize = 2048;

// Buffers for receiving up to `capacity` datagrams at once; reused by each call.
class UdpReceiveBatch {
 public:
  explicit UdpReceiveBatch(std::size_t capacity);

  // Receives what is there, up to the capacity, without waiting, and returns how many. 0 also
  // after an error of the socket (such as a port that a peer has closed): try again on the next
  // wake-up.
  std::size_t Receive(int descriptor);

  // Returns the bytes of the datagram at `index` of the last call; valid until the next one. A
  // datagram longer than kMaxDatagramSize is cut and IsTruncated().
  std::span<const std::uint8_t> Datagram(std::size_t index) const;

  // Tells whether the datagram at `index` was longer than its buffer.
  bool IsTruncated(std::size_t index) const;

  // Returns who sent the datagram at `index`.
  base::SocketAddress Sender(std::size_t index) const;

 private:
  std::vector<std::array<std::uint8_t, kMaxDatagramSize>> buffers_;
  std::vector<sockaddr_storage> senders_;
  std::vector<iovec> slices_;
  std::vector<mmsghdr> messages_;
};

// Datagrams to be sent in one call. Each has a header, which is copied into the batch's own buffer,
// and a payload, which isn't copied and must stay valid until Flush().
class UdpSendBatch {
 public:
  // Largest header, bytes.
  static constexpr std::size_t kMaxHeaderSize = 512;

  explicit UdpSendBatch(std::size_t capacity);

  // Returns the buffer in which to build the header of the next datagram.
  std::span<std::uint8_t> NextHeader();

  // Adds a datagram of the first `header_size` bytes of NextHeader(), then `payload`. The batch
  // must not be full.
  void Append(const base::SocketAddress& destination, std::size_t header_size,
              std::span<const std::uint8_t> payload);

  bool IsFull() const { return count_ == messages_.size(); }

  // Sends all that was added, and empties the batch. Returns how many the system took; what it did
  // not take is lost, as on a network.
  std::size_t Flush(int descriptor);

 private:
  static constexpr std::size_t kSlicesPerDatagram = 2;

  std::size_t count_ = 0;
  std::vector<std::array<std::uint8_t, kMaxHeaderSize>> headers_;
  std::vector<sockaddr_storage> destinations_;
  std::vector<std::array<iovec, kSlicesPerDatagram>> slices_;
  std::vector<mmsghdr> messages_;
};

}  // namespace gaugevalve::tasks
