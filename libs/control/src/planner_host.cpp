#include "gaugevalve/control/planner_host.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace gaugevalve::control {
namespace {

constexpr base::Duration kMinStepInterval = std::chrono::seconds(1);
// Weight in the settings that corresponds to a planner weight of 1.
constexpr double kDefaultEndpointWeight = 100.0;

const settings::ServiceSettings* FindService(const settings::EffectiveSettings& settings,
                                             base::ServiceId service) {
  const auto found = std::find_if(
      settings.services.begin(), settings.services.end(),
      [&](const settings::ServiceSettings& candidate) { return candidate.id == service; });
  return found == settings.services.end() ? nullptr : &*found;
}

// Returns the agent's status for the planner. An agent whose endpoint isn't in the settings keeps
// its flows and gets no new ones.
routing::AgentStatus StatusOf(const membership::Member& member,
                              const settings::ServiceSettings& service) {
  const membership::MemberMetadata& metadata = *member.metadata;
  routing::AgentStatus status;
  status.entry = {member.node, metadata.process_incarnation, metadata.data_address, metadata.zone};
  const settings::EndpointSettings* endpoint = service.FindEndpoint(metadata.endpoint_name);
  const bool wanted =
      endpoint != nullptr && endpoint->state == settings::AdministrativeState::kServing;
  if (!wanted || metadata.leaving) {
    status.liveness = routing::AgentLiveness::kLeaving;
  }
  if (endpoint != nullptr) {
    status.weight = endpoint->weight / kDefaultEndpointWeight;
    status.flow_capacity = endpoint->connections;
  }
  return status;
}

std::vector<routing::AgentStatus> StatusesOf(const settings::ServiceSettings& service,
                                             const MemberDirectory& directory) {
  std::vector<routing::AgentStatus> statuses;
  for (const base::NodeId node : directory.AgentsOf(service.id)) {
    statuses.push_back(StatusOf(*directory.Find(node), service));
  }
  return statuses;
}

base::Duration RampOf(const settings::ServiceSettings& service) {
  base::Duration longest{0};
  for (const settings::EndpointSettings& endpoint : service.endpoints) {
    longest = std::max(longest, endpoint.cold_start_ramp);
  }
  return longest;
}

}  // namespace

routing::FlowCountsOutcome FlowCountsOutcomeOf(routing::ReportOutcome outcome) {
  switch (outcome) {
    case routing::ReportOutcome::kAccepted:
      return routing::FlowCountsOutcome::kAccepted;
    case routing::ReportOutcome::kNeedsFullReport:
      return routing::FlowCountsOutcome::kNeedsFullReport;
    default:
      return routing::FlowCountsOutcome::kRefused;
  }
}

void PlannerHost::Reelect(const PlanningContext& context, base::TimePoint now) {
  std::erase_if(hosted_, [&](const auto& entry) {
    return FindService(context.settings, entry.first) == nullptr;
  });
  for (const settings::ServiceSettings& service : context.settings.services) {
    const std::optional<ElectedPlanner> elected =
        ElectPlanner(service.id, context.roster, context.directory);
    const bool is_planner = elected.has_value() && elected->node == self_;
    if (!is_planner) {
      hosted_.erase(service.id);
      continue;
    }
    const auto found = hosted_.find(service.id);
    const bool same = found != hosted_.end() && found->second.tag == elected->tag &&
                      found->second.roster_epoch == context.roster.epoch;
    if (!same) {
      StartCollecting(service.id, *elected, context.roster.epoch, now);
    }
    UpdateAgents(service.id, context, now);
  }
}

void PlannerHost::StartCollecting(base::ServiceId service, const ElectedPlanner& elected,
                                  std::uint64_t epoch, base::TimePoint now) {
  Hosted& hosted = hosted_[service];
  hosted.tag = elected.tag;
  hosted.roster_epoch = epoch;
  hosted.next_step = now + options_.collect_time;
  hosted.planner.reset();
}

void PlannerHost::UpdateAgents(base::ServiceId service, const PlanningContext& context,
                               base::TimePoint now) {
  const auto found = hosted_.find(service);
  const settings::ServiceSettings* settings = FindService(context.settings, service);
  const bool running =
      found != hosted_.end() && found->second.planner != nullptr && settings != nullptr;
  if (running) {
    found->second.planner->SetAgents(StatusesOf(*settings, context.directory), now);
    found->second.next_step = now;
  }
}

void PlannerHost::NoteGracefulLeave(base::ServiceId service, base::NodeId agent,
                                    base::Incarnation incarnation) {
  const auto found = hosted_.find(service);
  if (found != hosted_.end() && found->second.planner != nullptr) {
    found->second.planner->NoteGracefulLeave(agent, incarnation);
  }
}

void PlannerHost::RecordFailure(const membership::Member& agent, base::TimePoint now) {
  std::erase_if(failures_, [&](const Failure& failure) {
    return failure.agent.node == agent.node || failure.at + routing::kDeadAgentHold <= now;
  });
  failures_.push_back({agent, now});
}

void PlannerHost::AppendRecentlyFailed(const settings::ServiceSettings& service,
                                       const MemberDirectory& directory, base::TimePoint now,
                                       std::vector<routing::AgentStatus>& statuses) const {
  for (const Failure& failure : failures_) {
    const bool is_recent = now < failure.at + routing::kDeadAgentHold;
    const bool is_ours = failure.agent.metadata->service == service.id;
    if (is_recent && is_ours && directory.Find(failure.agent.node) == nullptr) {
      statuses.push_back(StatusOf(failure.agent, service));
      statuses.back().liveness = routing::AgentLiveness::kDead;
    }
  }
}

void PlannerHost::OnForeignTable(base::ServiceId service, const routing::TableVersion& version,
                                 base::TimePoint now) {
  const auto found = hosted_.find(service);
  const bool superseded = found != hosted_.end() && found->second.planner != nullptr &&
                          version > found->second.planner->Table().version;
  if (superseded) {
    StartCollecting(service, {self_, found->second.tag}, found->second.roster_epoch, now);
  }
}

std::optional<ReportAnswer> PlannerHost::HandleReport(const NumberedReport& numbered,
                                                      base::TimePoint now) {
  const auto found = hosted_.find(numbered.report.service);
  if (found == hosted_.end()) {
    return std::nullopt;
  }
  Hosted& hosted = found->second;
  if (hosted.planner == nullptr) {
    const bool has_room = hosted.early_reports.size() < options_.max_early_reports ||
                          hosted.early_reports.contains(numbered.report.node);
    if (has_room) {
      hosted.early_reports[numbered.report.node] = numbered.report;
    }
    return std::nullopt;  // without a table it can confirm none
  }
  return HandleAndAnswer(*hosted.planner, numbered.report, now);
}

std::optional<ReportAnswer> PlannerHost::HandleAndAnswer(routing::ServicePlanner& planner,
                                                         const routing::AgentReport& report,
                                                         base::TimePoint now) {
  const routing::ReportOutcome outcome = planner.HandleReport(report, now);
  if (!routing::ServicePlanner::MayAnswer(outcome)) {
    return std::nullopt;
  }
  planner.NoteAnswered(report.node, report.incarnation, now);
  return ReportAnswer{report.sequence, planner.ListedSince(report.node, report.incarnation),
                      FlowCountsOutcomeOf(outcome)};
}

std::vector<routing::BucketTable> PlannerHost::Tick(const PlanningContext& context,
                                                    base::TimePoint now) {
  std::vector<routing::BucketTable> changed;
  for (auto& [service, hosted] : hosted_) {
    if (now < hosted.next_step) {
      continue;
    }
    const settings::ServiceSettings* settings = FindService(context.settings, service);
    if (settings == nullptr) {
      continue;
    }
    if (hosted.planner == nullptr) {
      StartPlanning(*settings, hosted, context, now);
    }
    std::vector<DeferredAnswer> late = HandleEarlyReports(hosted, now);
    if (hosted.planner->Step(now).has_value()) {
      changed.push_back(hosted.planner->Table());
    }
    for (DeferredAnswer& answer : late) {
      // The table just published may be the first that lists the agent.
      answer.answer.table_version = hosted.planner->ListedSince(answer.agent, answer.incarnation);
      deferred_answers_.push_back(answer);
    }
    const base::TimePoint regular = now + kMinStepInterval;
    hosted.next_step = std::min(regular, hosted.planner->NextRelease().value_or(regular));
  }
  return changed;
}

void PlannerHost::StartPlanning(const settings::ServiceSettings& service, Hosted& hosted,
                                const PlanningContext& context, base::TimePoint now) {
  std::optional<routing::BucketTable> newest = context.newest_table(service.id);
  const routing::TableVersion version =
      newest.has_value() ? newest->version : routing::TableVersion{};
  // A table with a newer epoch than this node's roster was made under a coordinator whose roster
  // hasn't arrived here yet.
  const std::uint64_t epoch = std::max(hosted.roster_epoch, version.epoch);
  const std::uint32_t generation = TakeOverGeneration(version, epoch, hosted.tag);
  routing::PlannerSettings planner_settings;
  planner_settings.bucket_count = service.bucket_count;
  planner_settings.cold_start_ramp = RampOf(service);
  planner_settings.step_interval = StepInterval(context.settings.services.size());
  hosted.planner =
      std::make_unique<routing::ServicePlanner>(service.id, epoch, generation, planner_settings);
  if (newest.has_value()) {
    hosted.planner->TakeOver(std::move(*newest));
  }
  std::vector<routing::AgentStatus> statuses = StatusesOf(service, context.directory);
  AppendRecentlyFailed(service, context.directory, now, statuses);
  hosted.planner->SetAgents(std::move(statuses), now);
}

std::vector<DeferredAnswer> PlannerHost::HandleEarlyReports(Hosted& hosted, base::TimePoint now) {
  std::vector<DeferredAnswer> answers;
  for (const auto& [node, report] : std::exchange(hosted.early_reports, {})) {
    const std::optional<ReportAnswer> answer = HandleAndAnswer(*hosted.planner, report, now);
    if (answer.has_value()) {
      answers.push_back({node, report.incarnation, *answer});
    }
  }
  return answers;
}

base::Duration PlannerHost::StepInterval(std::size_t service_count) const {
  const double seconds = static_cast<double>(service_count) / options_.table_changes_per_second;
  const auto fair_share =
      std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(seconds));
  return std::max(kMinStepInterval, fair_share);
}

base::TimePoint PlannerHost::NextDeadline() const {
  base::TimePoint deadline = base::TimePoint::max();
  for (const auto& [service, hosted] : hosted_) {
    deadline = std::min(deadline, hosted.next_step);
  }
  return deadline;
}

}  // namespace gaugevalve::control
