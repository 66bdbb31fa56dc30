// A tree of digests over a set of records. Two nodes that hold the same records detect this by
// comparing eight bytes; otherwise they narrow the difference down to a few keys in three steps.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "gaugevalve/dissemination/record.h"

namespace gaugevalve::dissemination {

// Two levels below the root, each with a fan-out of 16. A digest is the exclusive or of the hashes
// of the records below it, so an update takes constant time.
class DigestTree {
 public:
  static constexpr std::size_t kFanout = 16;
  static constexpr std::size_t kLeafCount = kFanout * kFanout;
  using Digests = std::array<std::uint64_t, kFanout>;

  // Returns the leaf that contains records of this key.
  static std::size_t LeafOf(const RecordKey& key);

  // Adds a record to the digests, or removes one that was added.
  void Toggle(const RecordKey& key, const RecordStamp& stamp);

  std::uint64_t Root() const { return root_; }
  const Digests& Branches() const { return branches_; }

  // Returns the digests of the leaves of a branch (less than kFanout).
  const Digests& LeavesOf(std::size_t branch) const { return leaves_[branch]; }

  // Returns the digest of one leaf (less than kLeafCount).
  std::uint64_t Leaf(std::size_t leaf) const { return leaves_[leaf / kFanout][leaf % kFanout]; }

 private:
  std::uint64_t root_ = 0;
  Digests branches_{};
  std::array<Digests, kFanout> leaves_{};
};

}  // namespace gaugevalve::dissemination
