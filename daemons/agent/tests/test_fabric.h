// A simulated fabric with one balancer, for tests of agents.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "gaugevalve/base/clock.h"
#include "gaugevalve/control/node_view.h"
#include "gaugevalve/forwarding/codec_router.h"
#include "gaugevalve/forwarding/forwarding_core.h"
#include "gaugevalve/tasks/udp_batch.h"
#include "gaugevalve/tasks/udp_socket.h"
#include "gaugevalve/tasks/watch.h"

namespace gaugevalve::agent::testing {

// Callers send to CallerAddress(), which is also the service's virtual address. The balancer's core
// chooses the agent. Datagrams that agents send to EgressAddress() are returned to the callers.
// Runs on the test's loop.
class TestFabric {
 public:
  TestFabric(event_base* loop, std::shared_ptr<const connection_id::Codec> codec);

  base::SocketAddress CallerAddress() const { return callers_.LocalAddress(); }
  base::SocketAddress EgressAddress() const { return egress_.LocalAddress(); }

  void SetView(std::shared_ptr<const control::NodeView> view) { core_.SetView(std::move(view)); }

  // If set, packets that are not the first of a connection go to this agent instead of the chosen
  // one.
  std::optional<routing::AgentEntry> misroute_to;

 private:
  void FromCallers();
  void FromAgents();

  base::SystemClock clock_;
  tasks::UdpSocket callers_;
  tasks::UdpSocket egress_;
  forwarding::CodecRouter router_;
  forwarding::ForwardingCore core_;
  tasks::UdpReceiveBatch received_{64};
  tasks::Watch callers_readable_;
  tasks::Watch egress_readable_;
};

}  // namespace gaugevalve::agent::testing
