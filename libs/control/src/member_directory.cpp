#include "gaugevalve/control/member_directory.h"

namespace gaugevalve::control {
namespace {

DirectoryChange ChangeOf(membership::Role role) {
  return role == membership::Role::kBalancer ? DirectoryChange::kBalancers
                                             : DirectoryChange::kAgents;
}

}  // namespace

DirectoryChange MemberDirectory::Apply(const membership::MembershipEvent& event) {
  switch (event.kind) {
    case membership::EventKind::kJoined:
    case membership::EventKind::kRestarted:
    case membership::EventKind::kChanged:
      return Upsert(event.member);
    case membership::EventKind::kFailed:
    case membership::EventKind::kLeft:
      return Remove(event.member.node);
    default:
      return DirectoryChange::kNone;
  }
}

DirectoryChange MemberDirectory::Upsert(const membership::Member& member) {
  const auto known = members_.find(member.node);
  if (known != members_.end()) {
    RemoveFromIndexes(known->second);
  }
  members_[member.node] = member;
  if (member.metadata->role == membership::Role::kBalancer) {
    balancers_.insert(member.node);
  } else {
    agents_[member.metadata->service].insert(member.node);
  }
  return ChangeOf(member.metadata->role);
}

DirectoryChange MemberDirectory::Remove(base::NodeId node) {
  const auto known = members_.find(node);
  if (known == members_.end()) {
    return DirectoryChange::kNone;
  }
  const DirectoryChange change = ChangeOf(known->second.metadata->role);
  RemoveFromIndexes(known->second);
  members_.erase(known);
  return change;
}

void MemberDirectory::RemoveFromIndexes(const membership::Member& member) {
  balancers_.erase(member.node);
  const auto agents = agents_.find(member.metadata->service);
  if (agents != agents_.end()) {
    agents->second.erase(member.node);
    if (agents->second.empty()) {
      agents_.erase(agents);
    }
  }
}

const membership::Member* MemberDirectory::Find(base::NodeId node) const {
  const auto found = members_.find(node);
  return found == members_.end() ? nullptr : &found->second;
}

bool MemberDirectory::IsLive(base::NodeId node, base::Incarnation incarnation) const {
  const membership::Member* member = Find(node);
  return member != nullptr && member->metadata->process_incarnation == incarnation;
}

const std::set<base::NodeId>& MemberDirectory::AgentsOf(base::ServiceId service) const {
  static const std::set<base::NodeId> none;
  const auto found = agents_.find(service);
  return found == agents_.end() ? none : found->second;
}

}  // namespace gaugevalve::control
