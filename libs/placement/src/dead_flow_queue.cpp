#include "gaugevalve/placement/dead_flow_queue.h"

#include <algorithm>

namespace gaugevalve::placement {

bool DeadFlowQueue::Add(const DeadFlow& dead) {
  if (m_waiting.size() >= kLimit) {
    return false;
  }
  m_waiting.push_back(dead);
  ++m_total;
  return true;
}

std::vector<DeadFlow> DeadFlowQueue::TakeBatch() {
  const auto count = static_cast<std::ptrdiff_t>(std::min(kAtOnce, m_waiting.size()));
  std::vector<DeadFlow> some(m_waiting.begin(), m_waiting.begin() + count);
  m_waiting.erase(m_waiting.begin(), m_waiting.begin() + count);
  return some;
}

}  // namespace gaugevalve::placement
