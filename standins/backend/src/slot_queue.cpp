#include "slot_queue.h"

#include <algorithm>

namespace gaugevalve::standins {

Admission SlotQueue::Arrive(RequestNumber request) {
  if (busy_ < slots_) {
    ++busy_;
    return Admission::kRun;
  }
  if (waiting_.size() < queue_limit_) {
    waiting_.push_back(request);
    return Admission::kWait;
  }
  return Admission::kShed;
}

std::optional<SlotQueue::RequestNumber> SlotQueue::Finish() {
  if (waiting_.empty()) {
    --busy_;
    return std::nullopt;
  }
  const RequestNumber next = waiting_.front();
  waiting_.pop_front();
  return next;
}

bool SlotQueue::Abandon(RequestNumber request) {
  const auto found = std::find(waiting_.begin(), waiting_.end(), request);
  if (found == waiting_.end()) {
    return false;
  }
  waiting_.erase(found);
  return true;
}

}  // namespace gaugevalve::standins
