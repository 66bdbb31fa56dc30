// A short summary of the live members, by which two nodes find out where their views differ.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "gaugevalve/membership/member.h"

namespace gaugevalve::membership {

// One 32-bit hash for each bucket of node identifiers: the exclusive or over its live members, so
// a change costs one step. Dead members don't count, as each node forgets them in its own time.
class TableDigest {
 public:
  static constexpr std::size_t kBuckets = 256;

  // Returns the bucket a node belongs to.
  static std::size_t BucketOf(base::NodeId node);

  // Adds a live member, or takes one away that was added with the same versions.
  void Toggle(const Member& member);

  const std::array<std::uint32_t, kBuckets>& Buckets() const { return buckets_; }

  // Returns one hash of all live members.
  std::uint32_t Combined() const { return combined_; }

 private:
  std::array<std::uint32_t, kBuckets> buckets_{};
  std::uint32_t combined_ = 0;
};

}  // namespace gaugevalve::membership
