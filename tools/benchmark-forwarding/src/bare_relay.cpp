#include "bare_relay.h"

#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <cstddef>
#include <vector>

namespace gaugevalve::benchmark {
namespace {

constexpr std::size_t kBatchSize = 64;  // as the balancer's
constexpr std::size_t kBufferSize = 2048;
constexpr std::size_t kSocketBufferBytes = std::size_t{4} << 20U;
constexpr int kPollMilliseconds = 50;

}  // namespace

BareRelay::BareRelay(const base::SocketAddress& destination)
    : socket_(tasks::UdpSocket::Bind(base::SocketAddress::Ipv4(INADDR_LOOPBACK, 0))),
      destination_(destination) {
  socket_.RequestBufferSize(kSocketBufferBytes);
}

void BareRelay::Run(const std::atomic<bool>& stop) {
  std::vector<std::array<std::uint8_t, kBufferSize>> buffers(kBatchSize);
  std::vector<iovec> slices(kBatchSize);
  std::vector<mmsghdr> messages(kBatchSize);
  sockaddr_storage destination;
  const socklen_t destination_length = destination_.ToNative(destination);
  while (!stop.load(std::memory_order_relaxed)) {
    for (std::size_t index = 0; index < kBatchSize; ++index) {
      slices[index] = {buffers[index].data(), kBufferSize};
      messages[index].msg_hdr = {};
      messages[index].msg_hdr.msg_iov = &slices[index];
      messages[index].msg_hdr.msg_iovlen = 1;
    }
    const int received =
        recvmmsg(socket_.Descriptor(), messages.data(), kBatchSize, MSG_DONTWAIT, nullptr);
    if (received <= 0) {
      pollfd waiting{socket_.Descriptor(), POLLIN, 0};
      poll(&waiting, 1, kPollMilliseconds);
      continue;
    }
    for (int index = 0; index < received; ++index) {
      slices[index].iov_len = messages[index].msg_len;
      messages[index].msg_hdr.msg_name = &destination;
      messages[index].msg_hdr.msg_namelen = destination_length;
    }
    sendmmsg(socket_.Descriptor(), messages.data(), static_cast<unsigned>(received), 0);
  }
}

}  // namespace gaugevalve::benchmark
