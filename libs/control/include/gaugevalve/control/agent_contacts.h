/// @file
/// Agents that a node's control side has heard lately, for its data path.
#pragma once

#include <vector>

#include "absl/container/flat_hash_map.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/routing/agent_incarnation.h"
#include "gaugevalve/transport/envelope.h"

namespace gaugevalve::control {

/// Returns what a message of this kind says of its sender.
routing::ContactSource ContactSourceOf(transport::MessageKind kind);

/// Collects contacts and reports the newest of each agent a few times a second. The data path sees
/// the messages of other agents only after an inbox that may refuse them; a contact says that an
/// agent runs though its messages were dropped. Bounded by the number of agents that send to this
/// node between two reports. Not thread-safe.
class AgentContacts {
 public:
  void Note(const routing::AgentContact& contact) { m_newest[contact.agent] = contact; }

  /// Returns whether contacts wait and the last report is long enough ago.
  bool IsReportDue(base::TimePoint now) const;

  /// Returns the contacts since the last report that was taken over.
  std::vector<routing::AgentContact> Pending() const;

  /// The receiver has taken the pending contacts.
  void OnReported(base::TimePoint now);

 private:
  absl::flat_hash_map<routing::AgentIncarnation, routing::AgentContact> m_newest;
  base::TimePoint m_reported_at{};
};

}  // namespace gaugevalve::control
