// One pass of the balancer's data path: receive a batch, decide, send a batch.
#pragma once

#include <cstddef>
#include <memory>

#include "gaugevalve/base/time.h"
#include "gaugevalve/control/node_view.h"
#include "gaugevalve/daemon/reason_counters.h"
#include "gaugevalve/forwarding/forwarding_core.h"
#include "gaugevalve/tasks/udp_batch.h"
#include "gaugevalve/wire/forwarding_header.h"
#include "prometheus/registry.h"

namespace gaugevalve::balancer {

// Combines the batches, the codecs and the decision core. Owned by one thread. Payloads are never
// copied: the header is written to a separate buffer and both are sent by gather I/O.
class DatagramForwarder {
 public:
  // `router` may be null and must outlive this; so must `registry`.
  DatagramForwarder(const flow::SourceLimiterSettings& source_limit,
                    const forwarding::ConnectionIdRouter* router, prometheus::Registry& registry);

  // Uses this view for the following datagrams.
  void SetView(std::shared_ptr<const control::NodeView> view);

  // Receives up to a batch of datagrams from the socket and forwards them on the same one. Returns
  // how many were received.
  std::size_t ForwardBatch(int descriptor, base::TimePoint now);

  // Adds the counts since the last call to the metrics.
  void PublishCounters();

 private:
  // Handles one datagram of the batch; returns whether it is queued for sending.
  bool Forward(std::size_t index, base::TimePoint now);

  forwarding::ForwardingCore core_;
  tasks::UdpReceiveBatch received_;
  tasks::UdpSendBatch outgoing_;
  wire::ForwardingHeader header_;
  daemon::PublishedCounter received_count_;
  daemon::PublishedCounter forwarded_count_;
  daemon::PublishedCounter unsent_count_;
  daemon::ReasonCounters malformed_;
  daemon::ReasonCounters dropped_;
};

}  // namespace gaugevalve::balancer
