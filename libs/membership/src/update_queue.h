// Which members' records are still to be spread, and how often each was sent.
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

// At most one entry for each member, so it is bounded by the table. Those sent least often go
// first, and among them the oldest: after a large failure every record leaves once before any
// leaves twice.
class UpdateQueue {
 public:
  // Looks at an entry; returns whether there was room to send it.
  using Visitor = std::function<bool(base::NodeId, AccuserTag)>;

  // Puts a member at the front, as never sent. `accuser` goes along with a suspicion.
  void Enqueue(base::NodeId node, AccuserTag accuser);

  // Offers entries until one doesn't fit. Those sent `limit` times leave the queue.
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
