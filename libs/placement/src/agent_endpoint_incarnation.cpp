// AgentCore's part that takes the endpoint's word on itself, and ends the flows of a life that is
// over.
#include <algorithm>

#include "gaugevalve/placement/agent_core.h"

namespace gaugevalve::placement {

// The flows that `is_over` holds for are dead, where they are open and their clients can be told.
template <std::predicate<const AgentCore::FlowRecord&> Condition>
std::size_t AgentCore::EndFlows(Condition is_over, base::TimePoint now) {
  std::size_t count = 0;
  absl::erase_if(m_flows, [&](auto& entry) {
    FlowRecord& record = entry.second;
    const bool is_open =
        record.is_held && !record.is_not_held && !record.client_closed && !record.endpoint_closed;
    const bool is_dead = is_open && record.has_acknowledged && is_over(record) &&
                         m_dead.Add({entry.first, record.acknowledged});
    if (is_dead) {
      m_queue.Remove(entry.first);
      SetState(record, FlowState::kIdle, now);
      ++count;
    }
    return is_dead;
  });
  return count;
}

std::size_t AgentCore::NoteEndpointGone(base::TimePoint now) {
  // A flow that is just being opened may be one of the endpoint's successor.
  return EndFlows(
      [now](const FlowRecord& record) { return now - record.last_packet > kOpeningTime; }, now);
}

AnnouncementResult AgentCore::OnAnnouncement(const Announcement& announcement,
                                             std::uint64_t unix_ms, base::TimePoint now) {
  const EndpointIncarnation before = m_gate.Newest().incarnation;
  const base::TimePoint last_heard = m_gate.HeardAt();
  AnnouncementResult news;
  news.outcome = m_gate.Announce(announcement, now);
  const EndpointIncarnation& present = m_gate.Newest().incarnation;
  news.is_successor = news.outcome == AnnouncementOutcome::kTaken && present.StartedAfter(before);
  if (news.is_successor) {
    const base::TimePoint started =
        std::max(last_heard, StartOf(present, unix_ms, last_heard, now));
    news.dead_flows =
        EndFlows([started](const FlowRecord& record) { return record.held_at < started; }, now);
  }
  return news;
}

// When the endpoint started, by this machine's clock, which is also the endpoint's. The time of day
// may have been set meanwhile: a start outside of what is possible says nothing, and then only what
// the former life had been heard after counts.
base::TimePoint AgentCore::StartOf(const EndpointIncarnation& incarnation, std::uint64_t unix_ms,
                                   base::TimePoint last_heard, base::TimePoint now) {
  const bool is_past = incarnation.started_ms <= unix_ms;
  const auto age_ms = static_cast<std::int64_t>(is_past ? unix_ms - incarnation.started_ms : 0);
  const base::Duration since_heard = now - last_heard;
  const bool is_possible =
      is_past &&
      age_ms <= std::chrono::duration_cast<std::chrono::milliseconds>(since_heard).count();
  return is_possible ? now - std::chrono::milliseconds(age_ms) : last_heard;
}

}  // namespace gaugevalve::placement
