// The balancer's data task: a thread with its own socket and view that shares no state.
#pragma once

#include <atomic>
#include <memory>

#include "datagram_forwarder.h"
#include "gaugevalve/base/clock.h"
#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/control/node_view.h"
#include "gaugevalve/tasks/inbox.h"
#include "gaugevalve/tasks/task.h"
#include "gaugevalve/tasks/timer.h"
#include "gaugevalve/tasks/udp_socket.h"

namespace gaugevalve::balancer {

using ViewPointer = std::shared_ptr<const control::NodeView>;

// Receives datagrams of the fabric on its own socket and forwards them. Takes no lock; other
// threads communicate with it through PublishView() only.
class BalancerWorker {
 public:
  // Binds the data port; throws std::system_error, naming the address, when that fails.
  BalancerWorker(const base::SocketAddress& data_address,
                 const flow::SourceLimiterSettings& source_limit,
                 const forwarding::ConnectionIdRouter* router, prometheus::Registry& registry);

  // Starts forwarding. Datagrams are dropped as "no_view" until the first view.
  void Start() { task_.Start(); }

  // Returns the CPU-time clock of the thread. Valid while the thread runs.
  clockid_t ProcessorClock() { return task_.ProcessorClock(); }

  // Stops the thread and waits for it to end.
  void Stop();

  // Passes a newer view to the worker. Returns false when its inbox is full: publish the newest
  // view again later. Any thread.
  bool PublishView(ViewPointer view) { return views_.TrySend(std::move(view)); }

  // Returns the address bound, with the port the system chose.
  base::SocketAddress DataAddress() const { return socket_.LocalAddress(); }

  // Returns when the last datagram was received. Any thread.
  base::TimePoint LastDatagramAt() const {
    return base::TimePoint(base::Duration(last_datagram_.load(std::memory_order_relaxed)));
  }

 private:
  void OnReadable();

  base::SystemClock clock_;
  tasks::UdpSocket socket_;
  DatagramForwarder forwarder_;
  std::atomic<base::Duration::rep> last_datagram_ = 0;  // microseconds of the monotonic time line
  tasks::Task task_;
  tasks::Inbox<ViewPointer> views_;
  tasks::Watch readable_;
  tasks::Timer publish_timer_;
};

}  // namespace gaugevalve::balancer
