#include "update_queue.h"

#include <vector>

namespace gaugevalve::membership {

void UpdateQueue::Enqueue(base::NodeId node, AccuserTag accuser) {
  const auto found = by_node_.find(node);
  if (found != by_node_.end()) {
    by_order_.erase(found->second);
  }
  Insert({0, next_sequence_++, node, accuser});
}

void UpdateQueue::Take(std::uint32_t limit, const Visitor& visitor) {
  std::vector<Entry> taken;
  for (const Entry& entry : by_order_) {
    if (!visitor(entry.node, entry.accuser)) {
      break;
    }
    taken.push_back(entry);
  }
  for (Entry& entry : taken) {
    by_order_.erase(entry);
    ++entry.transmissions;
    if (entry.transmissions < limit) {
      Insert(entry);
    } else {
      by_node_.erase(entry.node);
    }
  }
}

void UpdateQueue::Insert(const Entry& entry) {
  by_order_.insert(entry);
  by_node_[entry.node] = entry;
}

}  // namespace gaugevalve::membership
