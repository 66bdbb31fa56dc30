// A tree of digests over a set of records: nodes that hold the same records find that out by
// comparing eight bytes, and otherwise narrow a difference down to a few keys in three steps.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "gaugevalve/dissemination/record.h"

namespace gaugevalve::dissemination {

// Two levels below the root, 16 children each. A digest is the exclusive or of the hashes of the
// records below it, so a change costs the same whatever the number of records.
class DigestTree {
 public:
  static constexpr std::size_t kFanout = 16;
  static constexpr std::size_t kLeafCount = kFanout * kFanout;
  using Digests = std::array<std::uint64_t, kFanout>;

  // Returns the leaf in which records of this key are counted.
  static std::size_t LeafOf(const RecordKey& key);

  // Adds the record to the digests, or takes it out when it was in.
  void Toggle(const RecordKey& key, const RecordStamp& stamp);

  std::uint64_t Root() const { return root_; }
  const Digests& Branches() const { return branches_; }

  // Returns the digests of the leaves below a branch (below kFanout).
  const Digests& LeavesOf(std::size_t branch) const { return leaves_[branch]; }

  // Returns the digest of one leaf (below kLeafCount).
  std::uint64_t Leaf(std::size_t leaf) const { return leaves_[leaf / kFanout][leaf % kFanout]; }

 private:
  std::uint64_t root_ = 0;
  Digests branches_{};
  std::array<Digests, kFanout> leaves_{};
};

}  // namespace gaugevalve::dissemination
