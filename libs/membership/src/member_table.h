// The members one node knows, and the rules by which piggybacked_bytes about them is taken in.
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

// What Merge() did with a record.
enum class MergeOutcome : std::uint8_t {
  kIgnored,        // older than what is known, or about nobody known
  kSame,           // exactly what is known
  kNeedsMetadata,  // newer, but of no use without metadata; nothing changed
  kRefused,        // the table is full of live members; nothing changed
  kChanged,
};

// What was known before a change.
struct PreviousState {
  MemberState state = MemberState::kAlive;
  base::Incarnation incarnation;
  base::Incarnation metadata_version;
  base::Incarnation life;
};

struct MergeResult {
  MergeOutcome outcome = MergeOutcome::kIgnored;
  std::optional<PreviousState> previous;  // of kChanged; nothing when it was unknown
};

// Holds up to `maximum_members`, this node among them. When it is full, the member dead for longest
// makes room; with none dead a new one is refused. Not thread-safe.
class MemberTable {
 public:
  using Map = absl::btree_map<base::NodeId, Member>;

  explicit MemberTable(std::size_t maximum_members) : maximum_members_(maximum_members) {}

  // Takes in a record if it is newer: by incarnation, then by state.
  MergeResult Merge(const MemberRecord& record, base::TimePoint now);

  // As Merge(), but takes in older ones too: a deliberate fault, see InjectedFaults.
  MergeResult MergeWithoutOrder(const MemberRecord& record, base::TimePoint now);

  // Sets a member whatever is known; for this node itself, and for preloading.
  void Put(const Member& member);

  // Forgets members dead or left since before `before`.
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
  // Keeps count, digest, fingerprints and groups: each change of a member is between the two.
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
