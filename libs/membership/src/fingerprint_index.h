// Four-byte fingerprints of member versions, used in place of records of about twenty bytes.
#pragma once

#include <cstdint>
#include <optional>

#include "absl/container/flat_hash_map.h"
#include "gaugevalve/membership/member.h"

namespace gaugevalve::membership {

using Fingerprint = std::uint32_t;

// Finds members by fingerprint. If two members of the table have the same fingerprint (about one
// pair in 400 tables of 4,460 members), neither is found by it and senders use whole records. An
// update about a member that is unknown here matches a known one by mistake with a probability of
// one in a million; the affected member then refutes it.
class FingerprintIndex {
 public:
  // Returns the fingerprint of a node at an incarnation and metadata version. The metadata version
  // is included so that a node with other metadata does not apply the refutation.
  static Fingerprint Of(base::NodeId node, base::Incarnation incarnation,
                        base::Incarnation metadata_version);
  static Fingerprint Of(const Member& member) {
    return Of(member.node, member.incarnation, member.metadata_version);
  }

  void Add(const Member& member);
  // Removes a member that was added. A fingerprint shared by two members stays unusable.
  void Remove(const Member& member);

  std::optional<base::NodeId> Find(Fingerprint fingerprint) const;

 private:
  struct Slot {
    base::NodeId node;
    bool is_shared = false;
  };
  absl::flat_hash_map<Fingerprint, Slot> slots_;
};

}  // namespace gaugevalve::membership
