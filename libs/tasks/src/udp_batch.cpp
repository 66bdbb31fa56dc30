#include "gaugevalve/tasks/udp_batch.h"

#include <cerrno>

namespace gaugevalve::tasks {

UdpReceiveBatch::UdpReceiveBatch(std::size_t capacity)
    : buffers_(capacity), senders_(capacity), slices_(capacity), messages_(capacity) {
  for (std::size_t index = 0; index < capacity; ++index) {
    slices_[index] = {buffers_[index].data(), buffers_[index].size()};
    msghdr& header = messages_[index].msg_hdr;
    header = {};
    header.msg_name = &senders_[index];
    header.msg_iov = &slices_[index];
    header.msg_iovlen = 1;
  }
}

std::size_t UdpReceiveBatch::Receive(int descriptor) {
  for (mmsghdr& message : messages_) {
    message.msg_hdr.msg_namelen = sizeof(sockaddr_storage);
  }
  const int received =
      recvmmsg(descriptor, messages_.data(), messages_.size(), MSG_DONTWAIT, nullptr);
  return received > 0 ? static_cast<std::size_t>(received) : 0;
}

std::span<const std::uint8_t> UdpReceiveBatch::Datagram(std::size_t index) const {
  return {buffers_[index].data(), messages_[index].msg_len};
}

bool UdpReceiveBatch::IsTruncated(std::size_t index) const {
  return (messages_[index].msg_hdr.msg_flags & MSG_TRUNC) != 0;
}

base::SocketAddress UdpReceiveBatch::Sender(std::size_t index) const {
  return base::SocketAddress::FromNative(senders_[index]).value_or(base::SocketAddress());
}

UdpSendBatch::UdpSendBatch(std::size_t capacity)
    : headers_(capacity), destinations_(capacity), slices_(capacity), messages_(capacity) {
  for (std::size_t index = 0; index < capacity; ++index) {
    msghdr& header = messages_[index].msg_hdr;
    header = {};
    header.msg_name = &destinations_[index];
    header.msg_iov = slices_[index].data();
    header.msg_iovlen = kSlicesPerDatagram;
  }
}

std::span<std::uint8_t> UdpSendBatch::NextHeader() { return headers_[count_]; }

void UdpSendBatch::Append(const base::SocketAddress& destination, std::size_t header_size,
                          std::span<const std::uint8_t> payload) {
  messages_[count_].msg_hdr.msg_namelen = destination.ToNative(destinations_[count_]);
  slices_[count_][0] = {headers_[count_].data(), header_size};
  // iovec serves reading and writing alike and so has no const; sendmmsg only reads.
  slices_[count_][1] = {const_cast<std::uint8_t*>(payload.data()), payload.size()};
  ++count_;
}

std::size_t UdpSendBatch::Flush(int descriptor) {
  std::size_t taken = 0;
  std::size_t next = 0;
  while (next < count_) {
    const int sent = sendmmsg(descriptor, messages_.data() + next, count_ - next, MSG_NOSIGNAL);
    if (sent > 0) {
      taken += static_cast<std::size_t>(sent);
      next += static_cast<std::size_t>(sent);
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      break;
    } else if (errno != EINTR) {
      ++next;  // this one can't be sent (say, no route); the ones behind it can
    }
  }
  count_ = 0;
  return taken;
}

}  // namespace gaugevalve::tasks
