#include "gaugevalve/simulation/event_queue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace gaugevalve::simulation {

bool EventQueue::RunsLater::operator()(const Entry& left, const Entry& right) const {
  return std::tie(left.at, left.sequence) > std::tie(right.at, right.sequence);
}

void EventQueue::Schedule(base::TimePoint at, Action action) {
  heap_.push_back({std::max(at, now_), next_sequence_++, std::move(action)});
  std::push_heap(heap_.begin(), heap_.end(), RunsLater{});
}

bool EventQueue::RunNext(base::TimePoint limit) {
  if (heap_.empty() || heap_.front().at > limit) {
    now_ = std::max(now_, limit);
    return false;
  }
  std::pop_heap(heap_.begin(), heap_.end(), RunsLater{});
  Entry entry = std::move(heap_.back());
  heap_.pop_back();
  now_ = entry.at;
  ++executed_;
  entry.action();
  return true;
}

}  // namespace gaugevalve::simulation
