// The state that a node holds about a member of the group.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/transport/envelope.h"

namespace gaugevalve::membership {

// The function of a node in the deployment.
enum class Role : std::uint8_t { kBalancer = 1, kAgent = 2 };

// Ordered by precedence: of two records with the same incarnation, the one with the higher state
// wins.
enum class MemberState : std::uint8_t {
  kAlive = 0,
  kSuspect = 1,  // failed a probe; counts as live until it is declared dead
  kDead = 2,     // did not refute the suspicion in time
  kLeft = 3,     // announced that it leaves
};

// Returns whether the member counts as live.
constexpr bool IsLive(MemberState state) { return state <= MemberState::kSuspect; }

// Returns "alive", "suspect", "dead" or "left".
std::string_view MemberStateName(MemberState state);

// The properties that a node announces about itself. Objects are immutable: a change creates a new
// object with a new metadata version.
struct MemberMetadata {
  Role role = Role::kBalancer;
  bool leaving = false;  // draining: still live and still probed, but receives no new work
  std::string region;    // names are at most kMaximumNameBytes long
  std::string zone;
  base::SocketAddress control_address;  // address on which its transport listens
  base::SocketAddress data_address;     // address on which it receives datagrams
  base::ServiceId service;              // only set for agents
  std::string endpoint_name;            // only set for agents
  transport::ProtocolVersionRange versions;
  std::uint32_t settings_schema = 1;      // newest settings schema that the node supports
  base::Incarnation process_incarnation;  // incarnation at process start; identifies the process

  friend bool operator==(const MemberMetadata&, const MemberMetadata&) = default;
};

inline constexpr std::size_t kMaximumNameBytes = 64;

// A member as seen by one node. While the member is remembered, (incarnation, state) never
// decreases.
struct Member {
  base::NodeId node;
  base::Incarnation incarnation;
  // The incarnation at which `metadata` was set. A refutation raises `incarnation` but not this
  // version.
  base::Incarnation metadata_version;
  MemberState state = MemberState::kAlive;
  base::TimePoint changed_at{};  // time of the last state change, on this node's clock
  std::shared_ptr<const MemberMetadata> metadata;  // never null
};

}  // namespace gaugevalve::membership
