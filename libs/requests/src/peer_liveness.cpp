#include "gaugevalve/requests/peer_liveness.h"

#include <algorithm>

namespace gaugevalve::requests {

void PeerLiveness::NoteMessage(const AgentIncarnation& agent, base::TimePoint now) {
  m_heard_at[agent] = now;
}

base::Duration PeerLiveness::Silence(const AgentIncarnation& agent, base::TimePoint since,
                                     base::TimePoint now) const {
  const auto found = m_heard_at.find(agent);
  return now - (found == m_heard_at.end() ? since : std::max(since, found->second));
}

void PeerLiveness::SkipPause(base::Duration pause, base::TimePoint now) {
  for (auto& [agent, heard_at] : m_heard_at) {
    heard_at = std::min(heard_at + pause, now);
  }
}

void PeerLiveness::ForgetLost(base::TimePoint now) {
  absl::erase_if(m_heard_at, [&](const auto& entry) { return now - entry.second >= m_timeout; });
}

}  // namespace gaugevalve::requests
