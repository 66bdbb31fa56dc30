#include "balancer_worker.h"

#include <utility>

namespace gaugevalve::balancer {
namespace {

constexpr std::size_t kViewInboxCapacity = 16;
constexpr std::size_t kSocketBufferBytes = std::size_t{4} << 20U;
constexpr base::Duration kPublishPeriod = std::chrono::milliseconds(250);
// Batches received per loop iteration. The limit lets views and timers be processed under full
// load.
constexpr int kBatchesPerWakeUp = 32;

}  // namespace

BalancerWorker::BalancerWorker(const base::SocketAddress& data_address,
                               const flow::SourceLimiterSettings& source_limit,
                               const forwarding::ConnectionIdRouter* router,
                               prometheus::Registry& registry)
    : socket_(tasks::UdpSocket::Bind(data_address)),
      forwarder_(source_limit, router, registry),
      task_("data"),
      views_(task_.Loop(), kViewInboxCapacity,
             [this](ViewPointer view) { forwarder_.SetView(std::move(view)); }),
      readable_(
          tasks::Watch::Readable(task_.Loop(), socket_.Descriptor(), [this] { OnReadable(); })),
      publish_timer_(task_.Loop(), [this] { forwarder_.PublishCounters(); }) {
  socket_.RequestBufferSize(kSocketBufferBytes);
  publish_timer_.StartPeriodic(kPublishPeriod);
}

void BalancerWorker::Stop() {
  task_.Stop();
  task_.Join();
}

void BalancerWorker::OnReadable() {
  const base::TimePoint now = clock_.Now();
  last_datagram_.store(now.time_since_epoch().count(), std::memory_order_relaxed);
  for (int batch = 0; batch < kBatchesPerWakeUp; ++batch) {
    if (forwarder_.ForwardBatch(socket_.Descriptor(), now) == 0) {
      break;
    }
  }
}

}  // namespace gaugevalve::balancer
