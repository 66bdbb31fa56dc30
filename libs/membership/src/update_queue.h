// The member records that are waiting to be gossiped, with their transmission counts.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <tuple>

#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"
#include "gaugevalve/base/identifiers.h"
#include "member_record.h"

namespace gaugevalve::membership {

// Holds at most one entry per member, so the table bounds its size. Entries with the fewest
// transmissions go first, and among these the oldest: after a large failure every record is sent
// once before any is sent twice.
class UpdateQueue {
 public:
  // Receives an entry and returns whether there was room to send it.
  using Visitor = std::function<bool(base::NodeId, AccuserTag)>;

  // Adds a member with a transmission count of 0. `accuser` is sent along with a suspicion.
  void Enqueue(base::NodeId node, AccuserTag accuser);

  // Passes entries to the visitor until one does not fit. Entries that were sent `limit` times are
  // removed.
  void Take(std::uint32_t limit, const Visitor& visitor);

  bool empty() const { return by_order_.empty(); }
  std::size_t size() const { return by_order_.size(); }

 private:
  struct Entry {
    std::uint32_t transmissions = 0;
    std::uint64_t sequence = 0;
    base::NodeId node;
    AccuserTag accuser = 0;

    friend bool operator<(const Entry& left, const Entry& right) {
      return std::tie(left.transmissions, left.sequence) <
             std::tie(right.transmissions, right.sequence);
    }
  };

  void Insert(const Entry& entry);

  absl::btree_set<Entry> by_order_;
  absl::flat_hash_map<base::NodeId, Entry> by_node_;
  std::uint64_t next_sequence_ = 0;
};

}  // namespace gaugevalve::membership
