// Invariant of flow ownership: a flow is served by one agent only.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gaugevalve/base/time.h"
#include "gaugevalve/routing/table_version.h"
#include "gaugevalve/wire/flow_key.h"
#include "simulated_agent.h"

namespace gaugevalve::proofs {

// Observes every datagram that an agent relays to its endpoint and reports the rule that this
// violates:
// - A flow that a live agent holds is not opened or served by another agent.
// - An agent opens no flow while its table may be out of date.
// - No datagram is relayed by an agent of another service.
// An agent that the planner declared dead has lost its flows to any agent that opens them. Until it
// learns of that, it may still serve the flows it holds, because nothing can prevent that, but it
// may open none. Once it has learned of it, the rules apply to it as to all agents.
class OwnershipOracle {
 public:
  // `agents` are the agents of the simulation and must outlive this object.
  OwnershipOracle(const std::vector<SimulatedAgent>& agents, base::ServiceId service,
                  base::Duration freshness_limit)
      : agents_(agents), service_(service), freshness_limit_(freshness_limit) {}

  // Records that the table of this version excludes the agent.
  void NoteDeclaredDead(std::size_t agent, const routing::TableVersion& version);

  // Records that the agent relayed a datagram of the flow. Returns the rule that this violates, if
  // any.
  std::optional<std::string> NoteRelayed(std::size_t agent, const wire::FlowKey& key, bool is_new,
                                         base::TimePoint now);

  // Returns the agent that holds the flow and must continue to serve it, if there is one.
  std::optional<std::size_t> HolderOf(const wire::FlowKey& key) const;

 private:
  // An incarnation of an agent.
  struct Holder {
    std::size_t agent = 0;
    base::Incarnation incarnation;
  };

  // An incarnation that was declared dead, and the version of the table that excluded it.
  struct DeathNotice {
    base::Incarnation incarnation;
    routing::TableVersion version;
  };

  bool IsUnaware(std::size_t agent) const;

  const std::vector<SimulatedAgent>& agents_;
  base::ServiceId service_;
  base::Duration freshness_limit_;
  std::map<std::uint64_t, Holder> holders_;           // by the flow key's hash
  std::map<std::size_t, DeathNotice> death_notices_;  // by agent
};

}  // namespace gaugevalve::proofs
