// A non-blocking UDP socket.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/tasks/file_descriptor.h"

namespace gaugevalve::tasks {

// Owned by one task. Every error of setting it up is a std::system_error that names the address.
class UdpSocket {
 public:
  // Returns a socket bound to `address`; port 0 lets the system choose one.
  static UdpSocket Bind(const base::SocketAddress& address);

  // Returns a socket connected to `peer`: it receives from nobody else.
  static UdpSocket Connect(const base::SocketAddress& peer);

  // Returns the address the socket is bound to, with the port the system chose.
  base::SocketAddress LocalAddress() const;

  // Asks for receive and send buffers of this many bytes; the system may give less.
  void RequestBufferSize(std::size_t bytes);

  // Sends on a connected socket. Returns false when the datagram was not taken (buffer full, peer
  // gone): as on a network, it is lost.
  bool Send(std::span<const std::uint8_t> datagram);

  // Returns the descriptor, which stays owned by this object.
  int Descriptor() const { return descriptor_.Get(); }

 private:
  explicit UdpSocket(FileDescriptor descriptor) : descriptor_(std::move(descriptor)) {}

  FileDescriptor descriptor_;
};

}  // namespace gaugevalve::tasks
