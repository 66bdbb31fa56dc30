// Immutable snapshot of the control state that the control task of a node passes to its data path.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/routing/agent_incarnation.h"
#include "gaugevalve/routing/bucket_table.h"
#include "gaugevalve/settings/effective_settings.h"

namespace gaugevalve::control {

// Protocol of a service's datagrams.
enum class ServiceKind : std::uint8_t {
  kDatagram = 0,  // opaque; a flow is a source address and port
  kHttp3 = 1,     // QUIC; a flow is a connection ID
};

// One service as input of the data path.
struct ServiceView {
  base::ServiceId id;
  std::string name;
  ServiceKind kind = ServiceKind::kDatagram;
  base::SocketAddress virtual_address;  // address that clients send to
  std::shared_ptr<const routing::BucketTable> table;
  // Agents: the live agents of the service, listed in the table or not. Null on balancers and with
  // static settings. The same object while they don't change.
  std::shared_ptr<const routing::LiveAgents> live_agents = nullptr;
};

// Snapshot for the data path of one node. Never changed after it is published; a new one replaces
// it.
struct NodeView {
  base::Revision revision;            // active settings revision
  std::vector<ServiceView> services;  // sorted by virtual address
  // Latest time for which its tables are known to have been current.
  base::TimePoint confirmed_at{};
  // Settings of an agent's own service; null on balancers and while an agent has no settings.
  std::shared_ptr<const settings::ServiceSettings> own_service;
};

}  // namespace gaugevalve::control
