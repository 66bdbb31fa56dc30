// The balancer's decision core: which agent gets a datagram.
#pragma once

#include <cstdint>
#include <memory>
#include <variant>

#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/control/node_view.h"
#include "gaugevalve/flow/source_limiter.h"
#include "gaugevalve/forwarding/connection_id_router.h"
#include "gaugevalve/forwarding/drop_reason.h"
#include "gaugevalve/forwarding/service_index.h"
#include "gaugevalve/wire/forwarding_header.h"
#include "gaugevalve/wire/proxy_datagram.h"

namespace gaugevalve::forwarding {

// Send the payload to `next_hop` behind the forwarding header of the decision.
struct Forward {
  base::SocketAddress next_hop;
};

// What to do with one datagram.
using Decision = std::variant<Forward, DropReason>;

// Decides about each datagram from the fabric. Holds nothing per flow: any balancer gives the same
// answer for the same tables, and the agents settle what differs. Its memory is the view, the index
// over it and the limiter's fixed cells. Pure and not thread-safe.
class ForwardingCore {
 public:
  // `source_limit` applies to new connections of http3 services; what is a new flow of a datagram
  // service only its agent knows. `router` may be null, then every connection ID goes by bucket; it
  // must outlive the core.
  ForwardingCore(const flow::SourceLimiterSettings& source_limit, const ConnectionIdRouter* router)
      : source_limiter_(source_limit), router_(router) {}

  // Goes by this view from now on. Builds the index: time in proportion to the services.
  void SetView(std::shared_ptr<const control::NodeView> view);

  // Decides about a datagram and fills in its header, whose contents are unspecified after a drop.
  // The header is an argument so that a worker can use one again and again.
  Decision Decide(const wire::ProxyDatagram& datagram, base::TimePoint now,
                  wire::ForwardingHeader& header);

 private:
  Decision DecideByHash(const routing::BucketTable& table, std::uint64_t flow_key_hash,
                        wire::ForwardingHeader& header) const;
  Decision DecideByConnectionId(const routing::BucketTable& table,
                                const wire::ProxyDatagram& datagram, base::TimePoint now,
                                wire::ForwardingHeader& header);

  ServiceIndex index_;
  flow::SourceLimiter source_limiter_;
  const ConnectionIdRouter* router_;
};

}  // namespace gaugevalve::forwarding
