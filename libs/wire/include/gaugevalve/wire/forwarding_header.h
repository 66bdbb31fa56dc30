// What a balancer or an agent adds to a datagram that it forwards, as PROXY protocol fields of the
// private range (0xE0 to 0xEF).
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

#include "absl/container/inlined_vector.h"
#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/routing/bucket_table.h"
#include "gaugevalve/routing/table_version.h"
#include "gaugevalve/wire/decode_error.h"
#include "gaugevalve/wire/proxy_datagram.h"

namespace gaugevalve::wire {

// Most previous owners that a datagram carries. Planners keep to routing::kMaxPreviousOwners but
// for moves away from dead or leaving owners; a longer chain is cut and the header says so.
inline constexpr std::size_t kMaxCarriedOwners = 2 * routing::kMaxPreviousOwners;

// Largest header with all fields, bytes: the plain header, the route (41 + 3), the owner (32 + 19 +
// 3), the claim (24 + 3) and the previous owners (16 + 19 + 3 each).
inline constexpr std::size_t kMaxForwardedHeaderSize =
    kMaxPlainProxyHeaderSize + 44 + 54 + 27 + kMaxCarriedOwners * 38;

// One life of an agent and where its datagrams go.
struct AgentAddress {
  base::NodeId node;
  base::Incarnation incarnation;
  base::SocketAddress data_address;

  friend bool operator==(const AgentAddress&, const AgentAddress&) = default;
};

// Who serves a bucket, as of a version. Agents that the sender's table doesn't list are left out:
// they have no life that could hold a flow.
struct BucketEntry {
  routing::TableVersion version;
  AgentAddress owner;                                                              // node 0: nobody
  absl::InlinedVector<AgentAddress, routing::kMaxPreviousOwners> previous_owners;  // newest first
  bool is_cut = false;  // previous owners are missing; nobody may open a flow under this entry

  friend bool operator==(const BucketEntry&, const BucketEntry&) = default;
};

// How far a datagram has come in asking the previous owners of the entry that it carries.
enum class ChainWalk : std::uint8_t {
  kNotStarted = 0,
  kWalking = 1,   // on its way along the previous owners
  kFinished = 2,  // all were asked; FlowClaim says who serves the flow
};

// The agent asked so far that has the flow from the newest entry. Each entry has one owner, and
// only under an entry of its own, or after a walk, is a flow known to be an agent's alone. So of
// two that have a flow, the one with the newer version is right and the other was taken for dead
// between.
struct FlowClaim {
  base::NodeId holder;              // 0: nobody asked so far has the flow
  routing::TableVersion confirmed;  // the entry under which the flow was last known to be its alone

  friend bool operator==(const FlowClaim&, const FlowClaim&) = default;
};

// The facts that travel with a forwarded datagram.
struct ForwardingHeader {
  base::ServiceId service;
  routing::TableVersion table_version;   // of the balancer's table
  base::NodeId target;                   // the agent that this hop is for
  base::Incarnation target_incarnation;  // its life as the sender knows it
  base::BucketIndex bucket;
  BucketEntry entry;
  std::uint8_t hop_count = 0;  // agents that have passed it on
  ChainWalk walk = ChainWalk::kNotStarted;
  FlowClaim claim;  // of the walk

  friend bool operator==(const ForwardingHeader&, const ForwardingHeader&) = default;
};

// Returns bucket `index` of the table with the addresses of its agents. The index must be below the
// table's size.
BucketEntry ResolveBucket(const routing::BucketTable& table, base::BucketIndex index);

// Builds the whole header of a forwarded datagram and returns its size in bytes, at most
// kMaxForwardedHeaderSize. See ProxyHeaderWriter for what it throws.
std::size_t EncodeForwardedHeader(std::span<std::uint8_t> buffer, const base::SocketAddress& source,
                                  const base::SocketAddress& destination,
                                  const ForwardingHeader& header);

// Reads the forwarding header from a datagram's fields (ProxyDatagram::fields). Fields of other
// types are skipped, so a later release may add some.
Decoded<ForwardingHeader> DecodeForwardingHeader(std::span<const std::uint8_t> fields);

}  // namespace gaugevalve::wire
