// A short digest of the live members, used to find differences between the views of two nodes.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "gaugevalve/membership/member.h"

namespace gaugevalve::membership {

// One 32-bit hash per bucket of node identifiers: the exclusive or over its live members, so an
// update takes constant time. Dead members are excluded because each node prunes them at its own
// time.
class TableDigest {
 public:
  static constexpr std::size_t kBuckets = 256;

  // Returns the bucket of a node.
  static std::size_t BucketOf(base::NodeId node);

  // Adds a live member, or removes one that was added with the same versions.
  void Toggle(const Member& member);

  const std::array<std::uint32_t, kBuckets>& Buckets() const { return buckets_; }

  // Returns one hash over all live members.
  std::uint32_t Combined() const { return combined_; }

 private:
  std::array<std::uint32_t, kBuckets> buckets_{};
  std::uint32_t combined_ = 0;
};

}  // namespace gaugevalve::membership
