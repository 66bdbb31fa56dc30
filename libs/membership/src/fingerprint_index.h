// Short names for versions of members, to say in four bytes what a record says in twenty.
#pragma once

#include <cstdint>
#include <optional>

#include "absl/container/flat_hash_map.h"
#include "gaugevalve/membership/member.h"

namespace gaugevalve::membership {

using Fingerprint = std::uint32_t;

// Finds members by fingerprint. Where two members of the table fraction one (one pair in 400 tables
// of 4,460 members), neither is found by it, and senders use whole records. A member unknown here
// may still be mistaken for a known one, once in a million such updates; that one then refutes.
class FingerprintIndex {
 public:
  // Returns the fingerprint of a node at an incarnation, with its metadata as of a version: a node
  // that hasn't that metadata must not take a refutation for it.
  static Fingerprint Of(base::NodeId node, base::Incarnation incarnation,
                        base::Incarnation metadata_version);
  static Fingerprint Of(const Member& member) {
    return Of(member.node, member.incarnation, member.metadata_version);
  }

  void Add(const Member& member);
  // Removes what Add() added. A shared fingerprint stays unusable.
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
