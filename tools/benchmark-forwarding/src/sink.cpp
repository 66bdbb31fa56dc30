#include "sink.h"

#include <poll.h>

#include "gaugevalve/tasks/udp_batch.h"

namespace gaugevalve::benchmark {
namespace {

constexpr std::size_t kBatchSize = 256;
constexpr std::size_t kSocketBufferBytes = std::size_t{4} << 20U;
constexpr int kPollMilliseconds = 50;

}  // namespace

Sink::Sink() : socket_(tasks::UdpSocket::Bind(base::SocketAddress::Ipv4(INADDR_ANY, 0))) {
  socket_.RequestBufferSize(kSocketBufferBytes);
  thread_ = std::thread([this] { Run(); });
}

Sink::~Sink() {
  stop_ = true;
  thread_.join();
}

base::SocketAddress Sink::AddressOf(std::uint32_t agent) const {
  return base::SocketAddress::Ipv4(INADDR_LOOPBACK + agent, socket_.LocalAddress().port);
}

void Sink::Run() {
  tasks::UdpReceiveBatch batch(kBatchSize);
  while (!stop_.load(std::memory_order_relaxed)) {
    const std::size_t received = batch.Receive(socket_.Descriptor());
    count_.fetch_add(received, std::memory_order_relaxed);
    if (received == 0) {
      pollfd waiting{socket_.Descriptor(), POLLIN, 0};
      poll(&waiting, 1, kPollMilliseconds);
    }
  }
}

}  // namespace gaugevalve::benchmark
