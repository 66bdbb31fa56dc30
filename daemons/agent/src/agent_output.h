// Output of the agent's data task: answers to the fabric's egress and datagrams to other agents.
#pragma once

#include <cstdint>
#include <span>

#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/daemon/reason_counters.h"
#include "gaugevalve/tasks/udp_batch.h"
#include "gaugevalve/wire/forwarding_header.h"
#include "gaugevalve/wire/proxy_datagram.h"
#include "prometheus/registry.h"

namespace gaugevalve::agent {

// Gathers datagrams and sends them in batches through the data socket. Payloads aren't copied: they
// must stay valid until Flush(), which the task calls once it has handled a batch of input. A full
// batch flushes itself. Owned by one thread.
class AgentOutput {
 public:
  // Sends through `descriptor`, which the caller still owns. `registry` must outlive this.
  AgentOutput(int descriptor, const base::SocketAddress& egress_address,
              prometheus::Registry& registry);

  // Sends an answer to a client: straight to the fabric's egress, with the virtual address as its
  // source, past all balancers.
  void SendAnswer(const base::SocketAddress& virtual_address, const base::SocketAddress& client,
                  std::span<const std::uint8_t> payload);

  // Passes a datagram on to another agent with this header.
  void PassOn(const base::SocketAddress& next_hop, const wire::ProxyDatagram& datagram,
              const wire::ForwardingHeader& header);

  // Sends all queued datagrams.
  void Flush();

  // Adds the counts since the last call to the metrics.
  void PublishCounters();

 private:
  void Append(const base::SocketAddress& destination, std::size_t header_size,
              std::span<const std::uint8_t> payload);

  int descriptor_;
  base::SocketAddress egress_address_;
  tasks::UdpSendBatch batch_;
  std::uint64_t queued_count_ = 0;
  daemon::PublishedCounter answers_;
  daemon::PublishedCounter passed_on_;
  daemon::PublishedCounter unsent_;
};

}  // namespace gaugevalve::agent
