#include "gaugevalve/forwarding/forwarding_core.h"

#include <optional>
#include <utility>

#include "gaugevalve/base/hash.h"
#include "gaugevalve/connection_id/codec.h"
#include "gaugevalve/connection_id/invariant_header.h"
#include "gaugevalve/wire/flow_key.h"

namespace gaugevalve::forwarding {

void ForwardingCore::SetView(std::shared_ptr<const control::NodeView> view) {
  index_ = ServiceIndex(std::move(view));
}

Decision ForwardingCore::Decide(const wire::ProxyDatagram& datagram, base::TimePoint now,
                                wire::ForwardingHeader& header) {
  if (!index_.HasView()) {
    return DropReason::kNoView;
  }
  const control::ServiceView* const service = index_.Find(datagram.destination);
  if (service == nullptr) {
    return DropReason::kUnknownVirtualAddress;
  }
  if (service->table == nullptr || service->table->buckets.empty()) {
    return DropReason::kNoTable;
  }
  const routing::BucketTable& table = *service->table;
  header.service = service->id;
  header.table_version = table.version;
  header.hop_count = 0;
  header.walk = wire::ChainWalk::kNotStarted;
  if (service->kind == control::ServiceKind::kHttp3) {
    return DecideByConnectionId(table, datagram, now, header);
  }
  const wire::FlowKey key{datagram.source, datagram.destination};
  return DecideByHash(table, key.Hash(), header);
}

Decision ForwardingCore::DecideByHash(const routing::BucketTable& table,
                                      std::uint64_t flow_key_hash,
                                      wire::ForwardingHeader& header) const {
  header.bucket = table.BucketOf(flow_key_hash);
  header.entry = wire::ResolveBucket(table, header.bucket);
  const wire::AgentAddress& owner = header.entry.owner;
  if (owner.node == base::NodeId()) {
    return DropReason::kNoOwner;
  }
  header.target = owner.node;
  header.target_incarnation = owner.incarnation;
  return Forward{owner.data_address};
}

Decision ForwardingCore::DecideByConnectionId(const routing::BucketTable& table,
                                              const wire::ProxyDatagram& datagram,
                                              base::TimePoint now, wire::ForwardingHeader& header) {
  const auto packet =
      connection_id::ParseInvariantHeader(datagram.payload, connection_id::kRoutableIdLength);
  if (!packet) {
    return DropReason::kNotQuic;
  }
  const Decision by_hash =
      DecideByHash(table, base::HashBytes(packet->destination.bytes()), header);
  const std::optional<base::NodeId> node =
      router_ == nullptr ? std::nullopt : router_->Route(packet->destination);
  const routing::AgentEntry* const agent = node ? table.FindAgent(*node) : nullptr;
  if (agent != nullptr) {
    header.target = agent->node;
    header.target_incarnation = agent->incarnation;
    return Forward{agent->data_address};
  }
  if (packet->is_initial && !source_limiter_.Allow(datagram.source, now)) {
    return DropReason::kSourceLimit;
  }
  return by_hash;
}

}  // namespace gaugevalve::forwarding
