#include "gaugevalve/dissemination/digest_tree.h"

#include "gaugevalve/base/hash.h"

namespace gaugevalve::dissemination {
namespace {

std::uint64_t HashKey(const RecordKey& key) { return base::HashPair(key.kind, key.scope); }

}  // namespace

std::size_t DigestTree::LeafOf(const RecordKey& key) { return HashKey(key) % kLeafCount; }

void DigestTree::Toggle(const RecordKey& key, const RecordStamp& stamp) {
  const std::uint64_t version = base::HashPair(stamp.version.major, stamp.version.minor);
  const std::uint64_t entry = base::HashPair(HashKey(key), base::HashPair(version, stamp.digest));
  const std::size_t leaf = LeafOf(key);
  root_ ^= entry;
  branches_[leaf / kFanout] ^= entry;
  leaves_[leaf / kFanout][leaf % kFanout] ^= entry;
}

}  // namespace gaugevalve::dissemination
