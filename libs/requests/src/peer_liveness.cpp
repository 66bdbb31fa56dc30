#include "gaugevalve/requests/peer_liveness.h"

#include <algorithm>

namespace gaugevalve::requests {

void PeerLiveness::NoteMessage(const AgentIncarnation& agent, base::TimePoint now) {
  m_heard_at[agent] = now;
}

void PeerLiveness::NoteContact(const AgentContact& contact) {
  AgentContact& newest = m_contacts[contact.agent];
  if (contact.heard_at >= newest.heard_at) {
    newest = contact;
  }
}

bool PeerLiveness::IsListedAsLive(const AgentIncarnation& agent) const {
  if (m_live_agents == nullptr) {
    return false;
  }
  const auto found = std::lower_bound(
      m_live_agents->begin(), m_live_agents->end(), agent.node,
      [](const AgentIncarnation& listed, base::NodeId node) { return listed.node < node; });
  return found != m_live_agents->end() && *found == agent;
}

std::optional<AgentContact> PeerLiveness::LastContact(const AgentIncarnation& agent) const {
  const auto found = m_contacts.find(agent);
  return found == m_contacts.end() ? std::nullopt : std::optional(found->second);
}

base::Duration PeerLiveness::Silence(const AgentIncarnation& agent, base::TimePoint since,
                                     base::TimePoint now) const {
  const auto found = m_heard_at.find(agent);
  return now - (found == m_heard_at.end() ? since : std::max(since, found->second));
}

bool PeerLiveness::IsKnownToLive(const AgentIncarnation& agent, base::TimePoint now) const {
  const std::optional<AgentContact> contact = LastContact(agent);
  return IsListedAsLive(agent) || (contact && now - contact->heard_at < m_timeout);
}

bool PeerLiveness::IsLost(const AgentIncarnation& agent, base::TimePoint since,
                          base::TimePoint now) const {
  return IsSilent(agent, since, now) &&
         (!IsKnownToLive(agent, now) || Silence(agent, since, now) >= m_live_timeout);
}

void PeerLiveness::SkipPause(base::Duration pause, base::TimePoint now) {
  for (auto& [agent, heard_at] : m_heard_at) {
    heard_at = std::min(heard_at + pause, now);
  }
  for (auto& [agent, contact] : m_contacts) {
    contact.heard_at = std::min(contact.heard_at + pause, now);
  }
}

void PeerLiveness::ForgetLost(base::TimePoint now) {
  absl::erase_if(m_heard_at,
                 [&](const auto& entry) { return now - entry.second >= m_live_timeout; });
  absl::erase_if(m_contacts,
                 [&](const auto& entry) { return now - entry.second.heard_at >= m_timeout; });
}

}  // namespace gaugevalve::requests
