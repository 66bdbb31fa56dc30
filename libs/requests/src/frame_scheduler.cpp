#include "gaugevalve/requests/frame_scheduler.h"

#include <algorithm>
#include <utility>

namespace gaugevalve::requests {

void FrameScheduler::OnBegun(base::NodeId peer) {
  const RetransmissionTimer timer(m_limits.resend_interval, m_limits.max_resend_interval);
  auto [entry, is_new] = m_peers.try_emplace(peer, Peer{.ready = {}, .queued = {}, .timer = timer});
  ++entry->second.hand_overs;
}

void FrameScheduler::OnEnded(base::NodeId peer, const HandOverId& id, std::size_t in_flight) {
  const auto found = m_peers.find(peer);
  if (found == m_peers.end()) {
    return;
  }
  if (found->second.queued.erase(id) > 0) {
    std::erase(found->second.ready, id);
  }
  found->second.in_flight -= std::min(in_flight, found->second.in_flight);
  --found->second.hand_overs;
  if (found->second.hand_overs == 0) {
    m_peers.erase(found);
  }
}

void FrameScheduler::Enqueue(base::NodeId peer, const HandOverId& id) {
  const auto found = m_peers.find(peer);
  if (found != m_peers.end() && found->second.queued.insert(id).second) {
    found->second.ready.push_back(id);
  }
}

std::optional<HandOverId> FrameScheduler::TakeNext(base::NodeId peer) {
  const auto found = m_peers.find(peer);
  if (found == m_peers.end()) {
    return std::nullopt;
  }
  Peer& entry = found->second;
  const bool has_room =
      entry.in_flight < m_limits.frames_per_peer || !m_limits.mechanisms.bound_frames;
  if (!has_room || entry.ready.empty()) {
    return std::nullopt;
  }
  const HandOverId id = entry.ready.front();
  entry.ready.pop_front();
  entry.queued.erase(id);
  return id;
}

void FrameScheduler::OnSent(base::NodeId peer) {
  const auto found = m_peers.find(peer);
  if (found != m_peers.end()) {
    ++found->second.in_flight;
  }
}

void FrameScheduler::OnReleased(base::NodeId peer, std::size_t count) {
  const auto found = m_peers.find(peer);
  if (found != m_peers.end()) {
    found->second.in_flight -= std::min(count, found->second.in_flight);
  }
}

RetransmissionTimer& FrameScheduler::Timer(base::NodeId peer) { return m_peers.at(peer).timer; }

std::size_t FrameScheduler::InFlight(base::NodeId peer) const {
  const auto found = m_peers.find(peer);
  return found == m_peers.end() ? 0 : found->second.in_flight;
}

}  // namespace gaugevalve::requests
