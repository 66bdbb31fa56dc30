// The part of BalancerCore that says on which evidence a flow was taken for ended.
#include <algorithm>
#include <span>

#include "gaugevalve/placement/balancer_core.h"
#include "gaugevalve/placement/reset_evidence.h"

namespace gaugevalve::placement {
namespace {

// Age of the information for which the agent is left out.
base::Duration AgeOf(Omission omission, const KnownAgent& agent, base::TimePoint now) {
  const bool is_reported = omission == Omission::kAbsent || omission == Omission::kNotListed;
  return now - (is_reported ? agent.reported_at : agent.updated_at);
}

ResetBasis BasisOf(Omission omission) {
  switch (omission) {
    case Omission::kAbsent:
      return ResetBasis::kHolderAbsent;
    case Omission::kUnreachable:
      return ResetBasis::kHolderUnreachable;
    default:
      return ResetBasis::kHolderSilent;
  }
}

}  // namespace

// Returns why the agent does not count as a possible holder of flows, or nothing if it does.
std::optional<Omission> BalancerCore::OmissionOf(const KnownAgent& agent,
                                                 base::TimePoint now) const {
  if (agent.report.standing == EndpointStanding::kAbsent) {
    return Omission::kAbsent;
  }
  // An agent that has said that it stops answers nothing until it is back; its endpoint lives.
  const bool is_restarting = agent.report.standing == EndpointStanding::kStopping;
  const bool is_unreachable = m_suspects.IsGivenUp(agent.address) ||
                              (agent.is_only_listed && m_discovery.IsGivenUp(agent.address));
  if (is_unreachable && !is_restarting) {
    return Omission::kUnreachable;
  }
  const bool is_silent =
      now - agent.updated_at > AgentDirectory::SilenceLimit(agent, m_settings.silence_limit);
  return is_silent ? std::optional(Omission::kSilent) : std::nullopt;
}

ResetEvidence BalancerCore::MakeEvidence(ResetBasis basis, const base::SocketAddress& holder,
                                         base::TimePoint now) {
  ResetEvidence evidence;
  evidence.basis = basis;
  evidence.holder = holder;
  const KnownAgent* agent = m_agents.Find(holder);
  evidence.holder_age = agent == nullptr ? base::Duration(0) : now - agent->reported_at;
  evidence.learning_age = now - m_started_at;
  return evidence;
}

// Returns the evidence for a flow whose agent no longer counts as a holder of flows.
ResetEvidence BalancerCore::EvidenceOfLostAgent(const KnownAgent& agent, base::TimePoint now) {
  const Omission omission = OmissionOf(agent, now).value_or(Omission::kSilent);
  ResetEvidence evidence = MakeEvidence(BasisOf(omission), agent.address, now);
  evidence.holder_age = AgeOf(omission, agent, now);
  return evidence;
}

// Returns which agents were asked for a flow that none of them holds, and which were not.
SearchCoverage BalancerCore::CoverageOfSearch(const Route& route, const FlowRecord& record,
                                              base::TimePoint now) {
  SearchCoverage coverage;
  coverage.asked = record.refused;
  const std::span<const base::ServiceId> services = ServicesOf(route);
  for (const KnownAgent* agent : m_agents.All()) {
    const bool is_of_route =
        std::find(services.begin(), services.end(), agent->report.service) != services.end();
    std::optional<Omission> omission = OmissionOf(*agent, now);
    if (!is_of_route && !MayHoldFlowsOf(route.address, *agent)) {
      omission = Omission::kNotListed;
    }
    if (omission) {
      coverage.omitted[static_cast<std::size_t>(*omission)].Add(agent->address,
                                                                AgeOf(*omission, *agent, now));
    }
  }
  return coverage;
}

}  // namespace gaugevalve::placement
