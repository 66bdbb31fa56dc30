// What must hold of flows, whatever happens: one agent serves a flow.
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

// Sees every datagram that an agent gives to its endpoint and says what rule that broke. The rules:
// - A flow that a live agent holds isn't opened or served by another.
// - An agent opens no flow while its table may be out of date.
// - Nothing reaches an agent of another service.
// An agent that the planner took for dead has lost its flows to whoever opens them. Until it has
// heard of that, it may still serve what it holds - nothing could keep it from that - but open
// nothing; once it has heard, the rules apply to it as to all.
class OwnershipOracle {
 public:
  // `agents` are those of the simulation, which outlives this.
  OwnershipOracle(const std::vector<SimulatedAgent>& agents, base::ServiceId service,
                  base::Duration freshness_limit)
      : agents_(agents), service_(service), freshness_limit_(freshness_limit) {}

  // Notes that the table of this version leaves the agent out.
  void NoteDeclaredDead(std::size_t agent, const routing::TableVersion& version);

  // Notes that the agent relayed a datagram of the flow. Returns the rule that this broke.
  std::optional<std::string> NoteRelayed(std::size_t agent, const wire::FlowKey& key, bool is_new,
                                         base::TimePoint now);

  // Returns the agent that holds the flow and must go on serving it, if there is one.
  std::optional<std::size_t> HolderOf(const wire::FlowKey& key) const;

 private:
  // A life of an agent.
  struct Holder {
    std::size_t agent = 0;
    base::Incarnation incarnation;
  };

  // A life that was taken for dead, and the table that said so.
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
