// Members of one zone in small groups, so that the fate of a whole group fits into a few bytes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "gaugevalve/membership/member.h"

namespace gaugevalve::membership {

using GroupKey = std::uint32_t;

// Members of one group as two nodes know them alike: position i stands for the same member at the
// same metadata version on every node whose `base` is the same.
struct MemberGroup {
  std::uint32_t base = 0;             // exclusive or of hashes of (node, metadata version)
  std::vector<base::NodeId> members;  // by rising identifier
};

// Divides the members of each zone into kSlices groups by identifier (320 members each at 7 zones
// and 4,460 members). Members that left aren't counted. Not thread-safe.
class MemberGroups {
 public:
  static constexpr std::uint64_t kSlices = 2;

  // Returns the group a member belongs to; two groups that fraction a key are one on every node.
  static GroupKey KeyOf(const Member& member);

  void Add(const Member& member);
  // Removes what Add() added.
  void Remove(const Member& member);

  // Returns the group; null when it has no members. Valid until the next change.
  const MemberGroup* Find(GroupKey key) const;

 private:
  static std::uint32_t HashOf(const Member& member);

  absl::flat_hash_map<GroupKey, MemberGroup> groups_;
};

}  // namespace gaugevalve::membership
