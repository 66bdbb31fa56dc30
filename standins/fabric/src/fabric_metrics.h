// Counters of what the fabric did with datagrams.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/registry.h>

namespace gaugevalve::standins {

// The series of fabric_datagrams_total{direction, outcome}. The registry must outlive it.
struct FabricMetrics {
  explicit FabricMetrics(prometheus::Registry& registry);

  prometheus::Family<prometheus::Counter>& family;

  prometheus::Counter& inbound_received;
  prometheus::Counter& inbound_delivered;
  prometheus::Counter& inbound_lost;         // by a fault that is switched on
  prometheus::Counter& inbound_no_balancer;  // none listed, or the chosen one is cut
  prometheus::Counter& outbound_received;
  prometheus::Counter& outbound_delivered;
  prometheus::Counter& outbound_lost;
  prometheus::Counter& outbound_malformed;       // no PROXY v2 header
  prometheus::Counter& outbound_unknown_source;  // its source is no virtual address
};

}  // namespace gaugevalve::standins
