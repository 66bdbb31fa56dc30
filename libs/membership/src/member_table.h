// The members known to one node, and the rules for merging records.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "absl/container/btree_map.h"
#include "fingerprint_index.h"
#include "gaugevalve/membership/member.h"
#include "member_groups.h"
#include "member_record.h"
#include "table_digest.h"

namespace gaugevalve::membership {

// Outcome of Merge().
enum class MergeOutcome : std::uint8_t {
  kIgnored,        // older than the known record, or a death of an unknown member
  kSame,           // equal to the known record
  kNeedsMetadata,  // newer, but unusable without metadata; nothing changed
  kRefused,        // the table is full of live members; nothing changed
  kChanged,
};

// The record of a member before a change.
struct PreviousState {
  MemberState state = MemberState::kAlive;
  base::Incarnation incarnation;
  base::Incarnation metadata_version;
  base::Incarnation process_incarnation;
};

struct MergeResult {
  MergeOutcome outcome = MergeOutcome::kIgnored;
  std::optional<PreviousState> previous;  // set for kChanged, unless the member was unknown
};

// Holds up to `maximum_members`, including this node. If the table is full, a new member evicts the
// one that has been dead longest; if none is dead, the new member is rejected. Not thread-safe.
class MemberTable {
 public:
  using Map = absl::btree_map<base::NodeId, Member>;

  explicit MemberTable(std::size_t maximum_members) : maximum_members_(maximum_members) {}

  // Applies a record if it is newer, ordered by incarnation and then by state.
  MergeResult Merge(const MemberRecord& record, base::TimePoint now);

  // Like Merge(), but also applies older records. An injected fault; see InjectedFaults.
  MergeResult MergeWithoutOrder(const MemberRecord& record, base::TimePoint now);

  // Sets a member unconditionally. Used for this node itself and for preloading.
  void Put(const Member& member);

  // Removes members that have been dead or have left since before `before`.
  void PruneDead(base::TimePoint before);

  const Member* Find(base::NodeId node) const;
  const Map& Members() const { return members_; }
  const TableDigest& Digest() const { return digest_; }
  const FingerprintIndex& Fingerprints() const { return fingerprints_; }
  const MemberGroups& Groups() const { return groups_; }
  std::size_t LiveCount() const { return live_count_; }
  std::size_t DeadCount() const { return members_.size() - live_count_; }

 private:
  MergeResult Add(const MemberRecord& record, base::TimePoint now);
  MergeResult Change(Member& member, const MemberRecord& record, base::TimePoint now);
  bool EvictOldestDead();
  // Maintain the live count, digest, fingerprints and groups. Every change of a member must be
  // enclosed by the two calls.
  void RemoveFromIndexes(const Member& member);
  void AddToIndexes(const Member& member);

  std::size_t maximum_members_;
  Map members_;
  TableDigest digest_;
  FingerprintIndex fingerprints_;
  MemberGroups groups_;
  std::size_t live_count_ = 0;
};

}  // namespace gaugevalve::membership
