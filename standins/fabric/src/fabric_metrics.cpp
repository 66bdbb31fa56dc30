#include "fabric_metrics.h"

#include <string>

namespace gaugevalve::standins {
namespace {

prometheus::Counter& AddSeries(prometheus::Family<prometheus::Counter>& family,
                               const std::string& direction, const std::string& outcome) {
  return family.Add({{"direction", direction}, {"outcome", outcome}});
}

}  // namespace

FabricMetrics::FabricMetrics(prometheus::Registry& registry)
    : family(prometheus::BuildCounter()
                 .Name("fabric_datagrams_total")
                 .Help("Datagrams by direction (inbound: to balancers) and outcome.")
                 .Register(registry)),
      inbound_received(AddSeries(family, "inbound", "received")),
      inbound_delivered(AddSeries(family, "inbound", "delivered")),
      inbound_lost(AddSeries(family, "inbound", "lost")),
      inbound_no_balancer(AddSeries(family, "inbound", "no_balancer")),
      outbound_received(AddSeries(family, "outbound", "received")),
      outbound_delivered(AddSeries(family, "outbound", "delivered")),
      outbound_lost(AddSeries(family, "outbound", "lost")),
      outbound_malformed(AddSeries(family, "outbound", "malformed")),
      outbound_unknown_source(AddSeries(family, "outbound", "unknown_source")) {}

}  // namespace gaugevalve::standins
