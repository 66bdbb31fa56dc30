// The live members, indexed the way the control cores ask for them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/membership/member.h"
#include "gaugevalve/membership/membership_actions.h"

namespace gaugevalve::control {

// What an event meant for those who ask the directory.
enum class DirectoryChange : std::uint8_t {
  kNone = 0,
  kBalancers = 1,  // a balancer came, went, restarted or changed
  kAgents = 2,     // an agent did
};

// Live members (suspects count as live until they are declared dead), this node among them. Bounded
// by membership's own table. Not thread-safe.
class MemberDirectory {
 public:
  // Takes in what membership reports.
  DirectoryChange Apply(const membership::MembershipEvent& event);

  // Adds or replaces a live member.
  DirectoryChange Upsert(const membership::Member& member);

  // Removes a member that is no longer there.
  DirectoryChange Remove(base::NodeId node);

  // Returns the live member, or null. Valid until the next change.
  const membership::Member* Find(base::NodeId node) const;

  // Returns true when this very life of the node is there.
  bool IsLive(base::NodeId node, base::Incarnation life) const;

  // The live balancers, by rising identifier.
  const std::set<base::NodeId>& Balancers() const { return balancers_; }

  // The live agents of a service, by rising identifier.
  const std::set<base::NodeId>& AgentsOf(base::ServiceId service) const;

  const std::map<base::NodeId, membership::Member>& All() const { return members_; }

 private:
  void RemoveFromIndexes(const membership::Member& member);

  std::map<base::NodeId, membership::Member> members_;
  std::set<base::NodeId> balancers_;
  std::map<base::ServiceId, std::set<base::NodeId>> agents_;
};

}  // namespace gaugevalve::control
