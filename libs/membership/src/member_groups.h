// Partitions the members of a zone into small groups, whose states fit into a few bytes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "gaugevalve/membership/member.h"

namespace gaugevalve::membership {

using GroupKey = std::uint32_t;

// A group of members. On every node with the same `base`, position i refers to the same member at
// the same metadata version.
struct MemberGroup {
  std::uint32_t base = 0;             // exclusive or of the hashes of (node, metadata version)
  std::vector<base::NodeId> members;  // in ascending order of identifier
};

// Partitions the members of each zone into kSlices groups by identifier (about 320 members per
// group with 7 zones and 4,460 members). Members that left are excluded. Not thread-safe.
class MemberGroups {
 public:
  static constexpr std::uint64_t kSlices = 2;

  // Returns the key of the member's group. Two groups whose keys collide form one group on every
  // node.
  static GroupKey KeyOf(const Member& member);

  void Add(const Member& member);
  // Removes a member that was added, with the same state and versions.
  void Remove(const Member& member);

  // Returns the group, or null when it has no members. The pointer is valid until the next change.
  const MemberGroup* Find(GroupKey key) const;

 private:
  static std::uint32_t HashOf(const Member& member);

  absl::flat_hash_map<GroupKey, MemberGroup> groups_;
};

}  // namespace gaugevalve::membership
