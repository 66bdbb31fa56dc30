// What the control task of a node hands to its data path: an immutable known_counts, swapped whole.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/routing/bucket_table.h"
#include "gaugevalve/settings/effective_settings.h"

namespace gaugevalve::control {

// What a service's datagrams are.
enum class ServiceKind : std::uint8_t {
  kDatagram = 0,  // opaque; a flow is a source address and port
  kHttp3 = 1,     // QUIC; a flow is a connection ID
};

// One service as the data path needs it.
struct ServiceView {
  base::ServiceId id;
  std::string name;
  ServiceKind kind = ServiceKind::kDatagram;
  base::SocketAddress virtual_address;  // where callers send to
  std::shared_ptr<const routing::BucketTable> table;
};

// All that a node's data path knows. Never changed after it is published.
struct NodeView {
  base::Revision revision;            // settings revision in force
  std::vector<ServiceView> services;  // sorted by virtual address
  base::TimePoint confirmed_at{};  // when the control task last heard that its tables are current
  // An agent's own service; null on balancers, and while an agent has no settings.
  std::shared_ptr<const settings::ServiceSettings> own_service;
};

}  // namespace gaugevalve::control
