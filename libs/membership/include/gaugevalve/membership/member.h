// What a node knows about another.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/transport/envelope.h"

namespace gaugevalve::membership {

// What a node does for the system.
enum class Role : std::uint8_t { kBalancer = 1, kAgent = 2 };

// In order of precedence: at the same incarnation the higher value is the newer knowledge.
enum class MemberState : std::uint8_t {
  kAlive = 0,
  kSuspect = 1,  // did not answer; counts as there until it is declared dead
  kDead = 2,     // did not refute the suspicion in time
  kLeft = 3,     // said farewell
};

// Returns whether the member counts as there.
constexpr bool IsLive(MemberState state) { return state <= MemberState::kSuspect; }

// Returns "alive", "suspect", "dead" or "left".
std::string_view MemberStateName(MemberState state);

// What a node says about itself. Never changed in place: a change is a new object and version.
struct MemberMetadata {
  Role role = Role::kBalancer;
  bool leaving = false;  // gives up its work (drain); still there and still to be probed
  std::string region;    // names are at most kMaximumNameBytes long
  std::string zone;
  base::SocketAddress control_address;  // where its transport listens
  base::SocketAddress data_address;     // where it takes datagrams
  base::ServiceId service;              // of an agent
  std::string endpoint_name;            // of an agent
  transport::ProtocolVersionRange versions;
  std::uint32_t settings_schema = 1;  // newest settings schema it understands
  base::Incarnation life;             // incarnation at the start of the process

  friend bool operator==(const MemberMetadata&, const MemberMetadata&) = default;
};

inline constexpr std::size_t kMaximumNameBytes = 64;

// A member as one node sees it. (incarnation, state) never goes backwards while it is remembered.
struct Member {
  base::NodeId node;
  base::Incarnation incarnation;
  // The incarnation at which `metadata` was set; a refutation raises the incarnation only.
  base::Incarnation metadata_version;
  MemberState state = MemberState::kAlive;
  base::TimePoint changed_at{};                    // of the state, on this node's clock
  std::shared_ptr<const MemberMetadata> metadata;  // never null
};

}  // namespace gaugevalve::membership
