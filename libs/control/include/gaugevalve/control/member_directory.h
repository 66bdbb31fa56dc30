// Live members, indexed for the control cores.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/membership/member.h"
#include "gaugevalve/membership/membership_actions.h"

namespace gaugevalve::control {

// Which members an event changed.
enum class DirectoryChange : std::uint8_t {
  kNone = 0,
  kBalancers = 1,  // a balancer joined, left, restarted or changed
  kAgents = 2,     // an agent joined, left, restarted or changed
};

// Live members, including this node. Suspects count as live until they are declared dead. The size
// is bounded by that of membership's table. Not thread-safe.
class MemberDirectory {
 public:
  // Applies an event of membership.
  DirectoryChange Apply(const membership::MembershipEvent& event);

  DirectoryChange Upsert(const membership::Member& member);

  DirectoryChange Remove(base::NodeId node);

  // Returns the live member, or null. Valid until the next change.
  const membership::Member* Find(base::NodeId node) const;

  // Tells whether this incarnation of the node is live.
  bool IsLive(base::NodeId node, base::Incarnation incarnation) const;

  // Returns the live balancers, sorted by identifier.
  const std::set<base::NodeId>& Balancers() const { return balancers_; }

  // Returns the live agents of a service, sorted by identifier.
  const std::set<base::NodeId>& AgentsOf(base::ServiceId service) const;

  const std::map<base::NodeId, membership::Member>& All() const { return members_; }

 private:
  void RemoveFromIndexes(const membership::Member& member);

  std::map<base::NodeId, membership::Member> members_;
  std::set<base::NodeId> balancers_;
  std::map<base::ServiceId, std::set<base::NodeId>> agents_;
};

}  // namespace gaugevalve::control
