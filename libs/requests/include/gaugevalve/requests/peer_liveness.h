/// @file
/// When other agents were last heard, whatever their messages were about.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>

#include "absl/container/flat_hash_map.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/routing/agent_incarnation.h"

namespace gaugevalve::requests {

using routing::AgentContact;
using routing::AgentIncarnation;
using routing::LiveAgents;

/// Liveness of the agents that send messages to this one. It is a property of an agent's
/// incarnation: while an agent sends anything, none of its hand-overs counts as silent, since the
/// messages of one may wait behind those of others.
///
/// Silence alone doesn't show that an agent is lost: an overloaded one may run and its messages be
/// dropped on their way. So a silent agent is lost only if its process isn't known to live: it
/// isn't listed by membership and wasn't heard by the control task. Holds only agents that were
/// heard within the longer time-out. Not thread-safe.
class PeerLiveness {
 public:
  /// @param timeout       silence after which an agent counts as lost
  /// @param live_timeout  the same if its process is known to live, as when its data task hangs
  PeerLiveness(base::Duration timeout, base::Duration live_timeout)
      : m_timeout(timeout), m_live_timeout(live_timeout) {}

  /// Records a message of this incarnation.
  void NoteMessage(const AgentIncarnation& agent, base::TimePoint now);

  /// Records that the process was heard, whether or not its message came here.
  void NoteContact(const AgentContact& contact);

  /// Sets the agents that membership counts as live; null if there is no membership.
  void SetLiveAgents(std::shared_ptr<const LiveAgents> agents) {
    m_live_agents = std::move(agents);
  }

  /// Returns whether membership counts this incarnation as live. False if it lists another one.
  bool IsListedAsLive(const AgentIncarnation& agent) const;

  /// Returns the newest contact with the process within the time-out.
  std::optional<AgentContact> LastContact(const AgentIncarnation& agent) const;

  /// Returns the time since the agent's last message, or since `since` if that is later: the time
  /// from which on a message was expected.
  base::Duration Silence(const AgentIncarnation& agent, base::TimePoint since,
                         base::TimePoint now) const;

  /// Returns whether that silence has reached the time-out.
  bool IsSilent(const AgentIncarnation& agent, base::TimePoint since, base::TimePoint now) const {
    return Silence(agent, since, now) >= m_timeout;
  }

  /// Returns whether the process runs as far as this agent can know: membership lists it, or it was
  /// heard within the time-out.
  bool IsKnownToLive(const AgentIncarnation& agent, base::TimePoint now) const;

  /// Returns whether the agent is to be given up: it is silent and its process isn't known to live,
  /// or it is silent for too long even so.
  bool IsLost(const AgentIncarnation& agent, base::TimePoint since, base::TimePoint now) const;

  /// This process stood still for `pause`: agents were not silent meanwhile.
  void SkipPause(base::Duration pause, base::TimePoint now);

  /// Removes agents that have been silent for their time-out.
  void ForgetLost(base::TimePoint now);

 private:
  base::Duration m_timeout;
  base::Duration m_live_timeout;
  absl::flat_hash_map<AgentIncarnation, base::TimePoint> m_heard_at;
  absl::flat_hash_map<AgentIncarnation, AgentContact> m_contacts;
  std::shared_ptr<const LiveAgents> m_live_agents;
};

}  // namespace gaugevalve::requests
