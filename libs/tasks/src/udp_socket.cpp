#include "gaugevalve/tasks/udp_socket.h"

#include <sys/socket.h>

#include <cerrno>
#include <string>
#include <system_error>
#include <utility>

namespace gaugevalve::tasks {
namespace {

[[noreturn]] void ThrowError(const std::string& what, const base::SocketAddress& address) {
  throw std::system_error(errno, std::generic_category(), what + " " + address.ToString());
}

FileDescriptor OpenSocket(const base::SocketAddress& address) {
  const int family = address.family == base::AddressFamily::kIpv4 ? AF_INET : AF_INET6;
  FileDescriptor descriptor(socket(family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (descriptor.Get() < 0) {
    ThrowError("socket for", address);
  }
  return descriptor;
}

}  // namespace

UdpSocket UdpSocket::Bind(const base::SocketAddress& address) {
  FileDescriptor descriptor = OpenSocket(address);
  sockaddr_storage storage;
  const socklen_t length = address.ToNative(storage);
  if (bind(descriptor.Get(), reinterpret_cast<const sockaddr*>(&storage), length) != 0) {
    ThrowError("bind", address);
  }
  return UdpSocket(std::move(descriptor));
}

UdpSocket UdpSocket::Connect(const base::SocketAddress& peer) {
  FileDescriptor descriptor = OpenSocket(peer);
  sockaddr_storage storage;
  const socklen_t length = peer.ToNative(storage);
  if (connect(descriptor.Get(), reinterpret_cast<const sockaddr*>(&storage), length) != 0) {
    ThrowError("connect", peer);
  }
  return UdpSocket(std::move(descriptor));
}

base::SocketAddress UdpSocket::LocalAddress() const {
  sockaddr_storage storage{};
  socklen_t length = sizeof(storage);
  if (getsockname(descriptor_.Get(), reinterpret_cast<sockaddr*>(&storage), &length) != 0) {
    throw std::system_error(errno, std::generic_category(), "getsockname");
  }
  return base::SocketAddress::FromNative(storage).value_or(base::SocketAddress());
}

void UdpSocket::RequestBufferSize(std::size_t bytes) {
  const int size = static_cast<int>(bytes);
  setsockopt(descriptor_.Get(), SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
  setsockopt(descriptor_.Get(), SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
}

bool UdpSocket::Send(std::span<const std::uint8_t> datagram) {
  return send(descriptor_.Get(), datagram.data(), datagram.size(), MSG_NOSIGNAL) ==
         static_cast<ssize_t>(datagram.size());
}

}  // namespace gaugevalve::tasks
