/// @file
/// When other agents were last heard, whatever their messages were about.
#pragma once

#include <cstddef>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/time.h"

namespace gaugevalve::requests {

/// One incarnation of an agent.
struct AgentIncarnation {
  base::NodeId node;
  base::Incarnation incarnation;

  friend bool operator==(const AgentIncarnation&, const AgentIncarnation&) = default;

  template <class HashState>
  friend HashState AbslHashValue(HashState state, const AgentIncarnation& id) {
    return HashState::combine(std::move(state), id.node, id.incarnation);
  }
};

/// Liveness of the agents that send messages to this one. It is a property of an agent's
/// incarnation: while an agent sends anything, none of its hand-overs counts as silent, since the
/// messages of one may wait behind those of others. Holds only agents that were heard within the
/// peer time-out. Not thread-safe.
class PeerLiveness {
 public:
  /// @param timeout  silence after which an agent counts as lost
  explicit PeerLiveness(base::Duration timeout) : m_timeout(timeout) {}

  /// Records a message of this incarnation.
  void NoteMessage(const AgentIncarnation& agent, base::TimePoint now);

  /// Returns the time since the agent's last message, or since `since` if that is later: the time
  /// from which on a message was expected.
  base::Duration Silence(const AgentIncarnation& agent, base::TimePoint since,
                         base::TimePoint now) const;

  /// Returns whether that silence has reached the time-out.
  bool IsLost(const AgentIncarnation& agent, base::TimePoint since, base::TimePoint now) const {
    return Silence(agent, since, now) >= m_timeout;
  }

  /// This process stood still for `pause`: agents were not silent meanwhile.
  void SkipPause(base::Duration pause, base::TimePoint now);

  /// Removes agents that have been silent for the time-out.
  void ForgetLost(base::TimePoint now);

  std::size_t Size() const { return m_heard_at.size(); }

 private:
  base::Duration m_timeout;
  absl::flat_hash_map<AgentIncarnation, base::TimePoint> m_heard_at;
};

}  // namespace gaugevalve::requests
