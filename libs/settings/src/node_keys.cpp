#include "node_keys.h"

#include <array>

namespace gaugevalve::settings {
namespace {

constexpr KeyNeed kRequired = KeyNeed::kRequired;
constexpr KeyNeed kOptional = KeyNeed::kOptional;
constexpr KeyNeed kForAgents = KeyNeed::kRequiredForAgents;

constexpr std::array<NodeKey, 13> kNodeKeys{{
    {"name", kRequired, "Name of the node, unique in the deployment."},
    {"role", kRequired, "balancer or agent."},
    {"region", kRequired, "Region the machine is in."},
    {"zone", kRequired, "Zone the machine is in."},
    {"data_address", kRequired, "IP:port for datagrams. Peers are told it; port 0: any free one."},
    {"control_address", kRequired, "IP:port for the nodes' own messages (nng). Peers are told it."},
    {"admin_address", kRequired, "IP:port for /metrics, /healthz, /readyz and /status over HTTP."},
    {"seed_peers", kOptional, "List of control addresses to ask first when joining."},
    {"store_endpoints", kOptional, "List of IP:port of the store's etcd v3 JSON gateways."},
    {"egress_address", kForAgents, "IP:port of the fabric's way out, where answers are sent."},
    {"connection_id_key_file", kOptional,
     "File with the keys of connection IDs, the same on every node; http3 needs it."},
    {"agent", kForAgents, "The endpoint beside the agent; see below."},
    {"static", kOptional, "Services and agents for a run without a store; see below."},
}};

constexpr std::array<NodeKey, 6> kAgentKeys{{
    {"service", kRequired, "Service of the endpoint, as named in the tree."},
    {"endpoint", kRequired, "Name of the endpoint in the tree."},
    {"datagram_address", kOptional,
     "IP:port of the endpoint for datagrams. One of the two is needed."},
    {"http_address", kOptional, "IP:port of the endpoint for HTTP/1.1. One of the two is needed."},
    {"certificate_file", kOptional, "PEM file with the certificate for http3; goes with key_file."},
    {"key_file", kOptional, "PEM file with the certificate's key."},
}};

constexpr std::array<NodeKey, 2> kStaticKeys{{
    {"services", kRequired, "List of services."},
    {"agents", kOptional, "List of agents."},
}};

constexpr std::array<NodeKey, 4> kStaticServiceKeys{{
    {"name", kRequired, "Name of the service."},
    {"kind", kRequired, "As in the tree."},
    {"virtual_address", kRequired, "As in the tree."},
    {"bucket_count", kRequired, "As in the tree."},
}};

constexpr std::array<NodeKey, 4> kStaticAgentKeys{{
    {"node", kRequired, "Name of the agent's node."},
    {"service", kRequired, "One of the services above."},
    {"zone", kRequired, "Zone of the agent."},
    {"data_address", kRequired, "IP:port of the agent for datagrams."},
}};

}  // namespace

std::span<const NodeKey> NodeKeys() { return kNodeKeys; }
std::span<const NodeKey> AgentKeys() { return kAgentKeys; }
std::span<const NodeKey> StaticKeys() { return kStaticKeys; }
std::span<const NodeKey> StaticServiceKeys() { return kStaticServiceKeys; }
std::span<const NodeKey> StaticAgentKeys() { return kStaticAgentKeys; }

}  // namespace gaugevalve::settings
