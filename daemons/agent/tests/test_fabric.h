// A fabric with one balancer in it, for agents under test.
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

// Callers send to CallerAddress(), which is also the service's virtual address; the balancer's core
// chooses the agent, and what agents send to EgressAddress() goes back to the callers. On the
// test's loop.
class TestFabric {
 public:
  TestFabric(event_base* loop, std::shared_ptr<const connection_id::Codec> codec);

  base::SocketAddress CallerAddress() const { return callers_.LocalAddress(); }
  base::SocketAddress EgressAddress() const { return egress_.LocalAddress(); }

  void SetView(std::shared_ptr<const control::NodeView> view) { core_.SetView(std::move(view)); }

  // Sends packets that are not the first of a connection to this agent instead, whoever it is.
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
