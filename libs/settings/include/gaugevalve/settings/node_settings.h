// The settings of one process: who it is, where it listens and whom it asks first.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/settings/service_kind.h"

namespace gaugevalve::settings {

// Which daemon the settings are for.
enum class NodeRole : std::uint8_t { kBalancer = 0, kAgent = 1 };

// Returns "balancer" or "agent".
std::string_view NodeRoleName(NodeRole role);

// What an agent knows of the endpoint beside it.
struct AgentSettings {
  std::string service;                                  // name in the settings tree
  std::string endpoint;                                 // name in the settings tree
  std::optional<base::SocketAddress> datagram_address;  // of the endpoint; for `datagram` services
  std::optional<base::SocketAddress> http_address;      // of the endpoint; for `http3` services
  std::string certificate_file;                         // PEM; empty when not given
  std::string key_file;                                 // PEM; empty when not given

  friend bool operator==(const AgentSettings&, const AgentSettings&) = default;
};

// A service of a run without a store.
struct StaticService {
  std::string name;
  ServiceKind kind = ServiceKind::kDatagram;
  base::SocketAddress virtual_address;
  std::uint32_t bucket_count = 0;

  friend bool operator==(const StaticService&, const StaticService&) = default;
};

// An agent of a run without a store.
struct StaticAgent {
  std::string node;     // its node name
  std::string service;  // one of the static services
  std::string zone;
  base::SocketAddress data_address;

  friend bool operator==(const StaticAgent&, const StaticAgent&) = default;
};

// Services and agents written into the file, for trials without a store. With this section present
// the node takes nothing from a store.
struct StaticSettings {
  std::vector<StaticService> services;
  std::vector<StaticAgent> agents;

  friend bool operator==(const StaticSettings&, const StaticSettings&) = default;
};

// The settings of one daemon. A plain value.
struct NodeSettings {
  std::string name;  // unique in the deployment
  NodeRole role = NodeRole::kBalancer;
  std::string region;
  std::string zone;
  base::SocketAddress data_address;                   // datagrams; peers are told this address
  base::SocketAddress control_address;                // nng; peers are told this address
  base::SocketAddress admin_address;                  // /metrics, /healthz, /readyz, /status
  std::vector<base::SocketAddress> seed_peers;        // control addresses asked first
  std::vector<base::SocketAddress> store_endpoints;   // etcd v3 JSON over HTTP
  std::optional<base::SocketAddress> egress_address;  // fabric's way out; agents need it
  std::string connection_id_key_file;                 // see connection_id::KeySet; may be empty
  std::optional<AgentSettings> agent;                 // present exactly for agents
  std::optional<StaticSettings> static_settings;

  // Returns the identifier that follows from the name.
  base::NodeId Id() const { return base::MakeNodeId(name); }

  friend bool operator==(const NodeSettings&, const NodeSettings&) = default;
};

// Returns the settings in the YAML text. Throws base::FindingsError with every fault, each with its
// place in `file_name`. Port 0 is accepted: the system then chooses the port.
NodeSettings ParseNodeSettings(const std::string& text, const std::string& file_name);

}  // namespace gaugevalve::settings
