#include "table_digest.h"

#include "gaugevalve/base/hash.h"

namespace gaugevalve::membership {

std::size_t TableDigest::BucketOf(base::NodeId node) { return node.value() % kBuckets; }

void TableDigest::Toggle(const Member& member) {
  const std::uint64_t versions =
      base::HashPair(member.incarnation.value(), member.metadata_version.value());
  const std::uint64_t hash = base::HashPair(member.node.value(), versions);
  buckets_.at(BucketOf(member.node)) ^= static_cast<std::uint32_t>(hash);
  combined_ ^= static_cast<std::uint32_t>(hash);
}

}  // namespace gaugevalve::membership
