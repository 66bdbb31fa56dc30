#include "member_groups.h"

#include <algorithm>

#include "gaugevalve/base/hash.h"

namespace gaugevalve::membership {

GroupKey MemberGroups::KeyOf(const Member& member) {
  const std::uint64_t region = base::HashText(member.metadata->region);
  const std::uint64_t zone = base::HashText(member.metadata->zone, region);
  return static_cast<GroupKey>(base::HashPair(zone, member.node.value() % kSlices));
}

void MemberGroups::Add(const Member& member) {
  if (member.state == MemberState::kLeft) {
    return;
  }
  MemberGroup& group = groups_[KeyOf(member)];
  group.base ^= HashOf(member);
  const auto place = std::lower_bound(group.members.begin(), group.members.end(), member.node);
  group.members.insert(place, member.node);
}

void MemberGroups::Remove(const Member& member) {
  if (member.state == MemberState::kLeft) {
    return;
  }
  const auto found = groups_.find(KeyOf(member));
  MemberGroup& group = found->second;
  group.base ^= HashOf(member);
  group.members.erase(std::lower_bound(group.members.begin(), group.members.end(), member.node));
  if (group.members.empty()) {
    groups_.erase(found);
  }
}

const MemberGroup* MemberGroups::Find(GroupKey key) const {
  const auto found = groups_.find(key);
  return found == groups_.end() ? nullptr : &found->second;
}

std::uint32_t MemberGroups::HashOf(const Member& member) {
  return static_cast<std::uint32_t>(
      base::HashPair(member.node.value(), member.metadata_version.value()));
}

}  // namespace gaugevalve::membership
