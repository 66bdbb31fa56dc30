#include "gaugevalve/control/control_node.h"

#include <algorithm>
#include <utility>

#include "gaugevalve/base/hash.h"
#include "gaugevalve/control/control_message.h"
#include "gaugevalve/control/record_keys.h"
#include "gaugevalve/control/settings_publisher.h"
#include "gaugevalve/control/view_builder.h"
#include "gaugevalve/routing/table_codec.h"
#include "gaugevalve/settings/store_layout.h"

namespace gaugevalve::control {
namespace {

// Interval at which the coordinator runs and an agent without a planner looks for one, besides
// events.
constexpr base::Duration kPeriodicWorkInterval = std::chrono::milliseconds(200);

dissemination::DisseminationOptions DisseminationOptionsOf(const ControlNodeOptions& options) {
  dissemination::DisseminationOptions result = options.dissemination;
  const bool balancer = options.metadata.role == membership::Role::kBalancer;
  result.self = base::MakeNodeId(options.name);
  result.zone = options.metadata.zone;
  result.interest = balancer ? BalancerInterest() : AgentInterest(options.metadata.service);
  return result;
}

dissemination::Interest InterestOf(const membership::MemberMetadata& metadata) {
  return metadata.role == membership::Role::kBalancer ? BalancerInterest()
                                                      : AgentInterest(metadata.service);
}

std::string Text(const routing::TableVersion& version) {
  return std::to_string(version.epoch) + "." + std::to_string(version.generation) + "." +
         std::to_string(version.sequence);
}

}  // namespace

std::string_view ControlEventName(ControlEventKind kind) {
  switch (kind) {
    case ControlEventKind::kSettingsActivated:
      return "settings_activated";
    case ControlEventKind::kSettingsRefused:
      return "settings_refused";
    case ControlEventKind::kStoreUnreadable:
      return "store_unreadable";
    case ControlEventKind::kRosterPublished:
      return "roster_published";
    case ControlEventKind::kTablePublished:
      return "table_published";
    case ControlEventKind::kRecordMalformed:
      return "record_malformed";
  }
  return "unknown";
}

ControlNode::ControlNode(const ControlNodeOptions& options)
    : options_(options),
      self_(base::MakeNodeId(options.name)),
      random_(options.seed),
      membership_(self_, options.metadata, options.membership, options.seed + 1),
      dissemination_(DisseminationOptionsOf(options), random_),
      activator_(options.faults, options.metadata.settings_schema),
      service_reader_(options.service_name),
      coordinator_(options.coordinator),
      capabilities_(options.capabilities),
      planners_(self_, options.planners),
      reporter_(options.reports) {}

void ControlNode::Start(base::TimePoint now, ControlActions& actions) {
  started_at_ = now;
  membership::MembershipActions from;
  membership_.Start(now, from);
  directory_.Upsert(membership_.Self());
  HandleMembershipActions(from, now, actions);
  UpdateDerivedState(now, actions);
}

void ControlNode::Preload(std::span<const membership::Member> members) {
  membership_.Preload(members);
  for (const membership::Member& member : members) {
    directory_.Upsert(member);
    UpsertPeer(member);
  }
}

void ControlNode::OnEnvelope(const transport::Envelope& envelope, base::TimePoint now,
                             ControlActions& actions) {
  if (envelope.kind == transport::MessageKind::kMembership) {
    membership::MembershipActions from;
    membership_.OnMessage(envelope.sender, envelope.payload, now, from);
    HandleMembershipActions(from, now, actions);
  } else if (envelope.kind == transport::MessageKind::kDissemination) {
    dissemination::Actions from;
    dissemination_.Receive(envelope.sender.node, envelope.payload, now, from);
    HandleDisseminationActions(from, now, actions);
  } else if (envelope.kind == transport::MessageKind::kControl) {
    HandleControlMessage(envelope, now, actions);
  }
  UpdateDerivedState(now, actions);
}

void ControlNode::NoteContact(const transport::SenderIdentity& sender, transport::MessageKind kind,
                              base::TimePoint now) {
  if (IsBalancer()) {
    return;
  }
  const std::optional<membership::Member> member = membership_.Find(sender.node);
  const bool is_known = member.has_value() && IsAgentOfOwnService(*member) &&
                        sender.incarnation >= member->metadata->process_incarnation;
  if (is_known) {
    contacts_.Note(
        {{sender.node, member->metadata->process_incarnation}, ContactSourceOf(kind), now});
  }
}

void ControlNode::OnTick(base::TimePoint now, ControlActions& actions) {
  if (now >= membership_.NextWakeUp()) {
    membership::MembershipActions from;
    membership_.OnTick(now, from);
    HandleMembershipActions(from, now, actions);
  }
  if (now >= dissemination_.NextDeadline()) {
    dissemination::Actions from;
    dissemination_.Tick(now, from);
    HandleDisseminationActions(from, now, actions);
  }
  UpdateDerivedState(now, actions);
}

base::TimePoint ControlNode::NextWakeUp() const {
  base::TimePoint next = std::min(membership_.NextWakeUp(), dissemination_.NextDeadline());
  next = std::min(next, IsBalancer() ? std::min(next_periodic_work_, planners_.NextDeadline())
                                     : std::max(next_report_, reporter_.NextDeadline()));
  return view_stale_ ? std::min(next, next_view_at_) : next;
}

// --- Members -------------------------------------------------------------------------------------

void ControlNode::HandleMembershipActions(membership::MembershipActions& from, base::TimePoint now,
                                          ControlActions& actions) {
  for (membership::OutgoingMessage& message : from.messages) {
    actions.envelopes.push_back(
        {message.destination, transport::MessageKind::kMembership, std::move(message.payload)});
  }
  for (membership::MembershipEvent& event : from.events) {
    HandleMemberEvent(event, now);
    actions.member_events.push_back(std::move(event));
  }
}

void ControlNode::HandleMemberEvent(const membership::MembershipEvent& event, base::TimePoint now) {
  const base::NodeId node = event.member.node;
  if (node != self_ && event.member.state == membership::MemberState::kAlive &&
      IsAgentOfOwnService(event.member)) {
    contacts_.Note({{node, event.member.metadata->process_incarnation},
                    routing::ContactSource::kMembership,
                    now});
  }
  const DirectoryChange change = directory_.Apply(event);
  if (change == DirectoryChange::kNone) {
    return;
  }
  const membership::Member* member = directory_.Find(node);
  if (member != nullptr) {
    UpsertPeer(*member);
  } else if (node != self_) {
    dissemination_.RemovePeer(node);
  }
  if (change == DirectoryChange::kBalancers) {
    election_stale_ = true;
  } else {
    agents_stale_.insert(event.member.metadata->service);
    if (IsAgentOfOwnService(event.member)) {
      live_agents_ = nullptr;
      view_stale_ = true;
    }
  }
  if (event.kind == membership::EventKind::kLeft) {
    planners_.NoteGracefulLeave(event.member.metadata->service, node,
                                event.member.metadata->process_incarnation);
  } else if (event.kind == membership::EventKind::kFailed) {
    planners_.RecordFailure(event.member, now);
  }
  next_periodic_work_ = now;
}

void ControlNode::UpsertPeer(const membership::Member& member) {
  if (member.node != self_) {
    dissemination_.UpsertPeer({member.node, member.metadata->zone, InterestOf(*member.metadata)});
  }
}

// False on balancers, which have no service of their own.
bool ControlNode::IsAgentOfOwnService(const membership::Member& member) const {
  return !IsBalancer() && member.metadata->role == membership::Role::kAgent &&
         member.metadata->service == options_.metadata.service;
}

std::shared_ptr<const routing::LiveAgents> ControlNode::LiveAgentsOfOwnService() {
  if (live_agents_ == nullptr) {
    routing::LiveAgents agents;
    for (const base::NodeId node : directory_.AgentsOf(options_.metadata.service)) {
      agents.push_back({node, directory_.Find(node)->metadata->process_incarnation});
    }
    live_agents_ = std::make_shared<const routing::LiveAgents>(std::move(agents));
  }
  return live_agents_;
}

void ControlNode::SetLeaving(bool leaving, base::TimePoint now, ControlActions& actions) {
  membership::MemberMetadata metadata = *membership_.Self().metadata;
  metadata.leaving = leaving;
  membership::MembershipActions from;
  membership_.UpdateMetadata(metadata, now, from);
  directory_.Upsert(membership_.Self());
  election_stale_ = true;
  HandleMembershipActions(from, now, actions);
  UpdateDerivedState(now, actions);
}

void ControlNode::Leave(base::TimePoint now, ControlActions& actions) {
  membership::MembershipActions from;
  membership_.Leave(now, from);
  HandleMembershipActions(from, now, actions);
}

// --- Records -------------------------------------------------------------------------------------

void ControlNode::HandleDisseminationActions(dissemination::Actions& from, base::TimePoint now,
                                             ControlActions& actions) {
  for (dissemination::OutgoingMessage& message : from.messages) {
    const membership::Member* member = directory_.Find(message.to);
    if (member != nullptr) {
      actions.envelopes.push_back({member->metadata->control_address,
                                   transport::MessageKind::kDissemination,
                                   std::move(message.bytes)});
    }
  }
  for (const dissemination::RecordKey& key : from.changed) {
    HandleChangedRecord(key, now, actions);
  }
  view_stale_ = view_stale_ || view_ == nullptr || ConfirmedAt() > view_->confirmed_at;
}

void ControlNode::HandleChangedRecord(const dissemination::RecordKey& key, base::TimePoint now,
                                      ControlActions& actions) {
  const std::string& bytes = *dissemination_.Records().Find(key)->value;
  switch (KindOf(key)) {
    case RecordKind::kSettingsRoot:
    case RecordKind::kSettingsSubtree:
    case RecordKind::kSettingsDefaults:
      settings_stale_ = true;
      break;
    case RecordKind::kPlannerRoster: {
      std::optional<Roster> roster = DecodeRoster(bytes);
      if (!roster.has_value()) {
        actions.events.push_back({ControlEventKind::kRecordMalformed, 0, "roster"});
        break;
      }
      roster_ = std::move(*roster);
      election_stale_ = true;
      settings_stale_ = true;  // the roster says which balancers may go into service
      break;
    }
    case RecordKind::kTable:
      HandleTableRecord(base::ServiceId(key.scope), bytes, now, actions);
      break;
  }
}

void ControlNode::HandleTableRecord(base::ServiceId service, const std::string& bytes,
                                    base::TimePoint now, ControlActions& actions) {
  try {
    auto table = std::make_shared<const routing::BucketTable>(routing::DecodeTable(bytes));
    planners_.OnForeignTable(service, table->version, now);
    if (service == options_.metadata.service) {
      reporter_.OnTableChanged(table->version);
    }
    tables_[service] = std::move(table);
    view_stale_ = true;
  } catch (const routing::DecodeError& error) {
    actions.events.push_back({ControlEventKind::kRecordMalformed, service.value(), error.what()});
  }
}

void ControlNode::Publish(const dissemination::RecordKey& key,
                          const dissemination::RecordVersion& version, std::string value,
                          base::TimePoint now, ControlActions& actions) {
  dissemination::Actions from;
  dissemination_.Publish(key, version, std::move(value), now, from);
  HandleDisseminationActions(from, now, actions);
}

// --- The store -----------------------------------------------------------------------------------

bool ControlNode::ShouldUseStore(base::TimePoint now) const {
  const bool settled = membership_.IsJoined() && now >= started_at_ + options_.settle_time;
  if (!IsBalancer() || !settled) {
    return false;
  }
  const std::string& region = options_.metadata.region;
  const std::uint64_t own_rank = base::HashPair(self_.value(), 0);
  std::size_t ahead = 0;
  for (const base::NodeId node : directory_.Balancers()) {
    const membership::MemberMetadata& metadata = *directory_.Find(node)->metadata;
    const bool comes_first = node != self_ && metadata.region == region && !metadata.leaving &&
                             base::HashPair(node.value(), 0) < own_rank;
    ahead += comes_first ? 1 : 0;
  }
  return ahead < options_.store_readers_per_region;
}

void ControlNode::OnStoreSnapshot(const store::WatchSnapshot& snapshot, base::TimePoint now,
                                  ControlActions& actions) {
  PublishFromStore(snapshot.key_values, now, actions);
}

void ControlNode::OnStoreChanges(const store::WatchChanges& changes, base::TimePoint now,
                                 ControlActions& actions) {
  std::vector<store::KeyValue> puts;
  for (const store::WatchEvent& event : changes.events) {
    if (event.kind == store::WatchEventKind::kPut) {
      puts.push_back(event.key_value);
    }
  }
  PublishFromStore(puts, now, actions);
}

void ControlNode::PublishFromStore(const std::vector<store::KeyValue>& key_values,
                                   base::TimePoint now, ControlActions& actions) {
  SettingsRecords read = RecordsFromStore(key_values, dissemination_.Records());
  if (!read.findings.empty()) {
    actions.events.push_back(
        {ControlEventKind::kStoreUnreadable, 0, base::FormatFindings(read.findings)});
  }
  for (PublishedRecord& record : read.records) {
    Publish(record.key, record.version, std::move(record.value), now, actions);
  }
  UpdateDerivedState(now, actions);
}

void ControlNode::OnLeaseHeld(std::uint64_t epoch, base::TimePoint now, ControlActions& actions) {
  coordinator_.OnLeaseHeld(epoch, now);
  capabilities_.OnLeaseHeld(
      {std::string(settings::kCoordinatorLeaseKey), settings::ModRevision(epoch)});
  UpdateDerivedState(now, actions);
}

void ControlNode::OnLeaseLost(base::TimePoint now, ControlActions& actions) {
  coordinator_.OnLeaseLost();
  capabilities_.OnLeaseLost();
  UpdateDerivedState(now, actions);
}

void ControlNode::OnStoreAnswer(const settings::StoreTransactionAnswer& answer, base::TimePoint now,
                                ControlActions& actions) {
  try {
    capabilities_.OnAnswer(answer, now);
  } catch (const base::FindingsError& error) {
    actions.events.push_back(
        {ControlEventKind::kStoreUnreadable, 0, base::FormatFindings(error.findings())});
  }
  next_periodic_work_ = now;
  UpdateDerivedState(now, actions);
}

// --- Reports -------------------------------------------------------------------------------------

void ControlNode::UpdateReport(const routing::AgentReport& report, base::TimePoint now,
                               ControlActions& actions) {
  reporter_.Update(report);
  UpdateDerivedState(now, actions);
}

void ControlNode::SendReport(base::TimePoint now, ControlActions& actions) {
  const std::optional<ElectedPlanner> planner = PlannerOf(options_.metadata.service);
  const membership::Member* member = planner.has_value() ? directory_.Find(planner->node) : nullptr;
  if (member == nullptr) {
    next_report_ = now + kPeriodicWorkInterval;
    return;
  }
  reporter_.SetPlanner(planner->node);
  const std::optional<NumberedReport> report = reporter_.Tick(now);
  if (report.has_value()) {
    actions.envelopes.push_back({member->metadata->control_address,
                                 transport::MessageKind::kControl, EncodeReport(*report)});
  }
}

void ControlNode::HandleControlMessage(const transport::Envelope& envelope, base::TimePoint now,
                                       ControlActions& actions) {
  const ControlMessage message = DecodeControlMessage(envelope.payload);
  if (const auto* report = std::get_if<NumberedReport>(&message)) {
    const std::optional<ReportAnswer> answer = planners_.HandleReport(*report, now);
    if (answer.has_value()) {
      actions.envelopes.push_back({envelope.sender.control_address,
                                   transport::MessageKind::kControl, EncodeAnswer(*answer)});
    }
    return;
  }
  if (const auto* answer = std::get_if<ReportAnswer>(&message)) {
    const std::shared_ptr<const routing::BucketTable> table = TableOf(options_.metadata.service);
    const routing::TableVersion own = table == nullptr ? routing::TableVersion{} : table->version;
    reporter_.HandleAnswer(*answer, own);
    view_stale_ = view_stale_ || view_ == nullptr || ConfirmedAt() > view_->confirmed_at;
    const bool missing = answer->table_version > own && directory_.Find(envelope.sender.node);
    if (missing) {
      dissemination::Actions from;
      dissemination_.CompareWith(envelope.sender.node, now, from);
      HandleDisseminationActions(from, now, actions);
    }
  }
}

// --- Derived state -------------------------------------------------------------------------------

// Updates everything that depends on members, records and time.
void ControlNode::UpdateDerivedState(base::TimePoint now, ControlActions& actions) {
  if (std::exchange(settings_stale_, false)) {
    AdvanceSettings(actions);
  }
  if (IsBalancer()) {
    RunCoordinator(now, actions);
    RunPlanners(now, actions);
  } else {
    SendReport(now, actions);
  }
  RebuildView(now, actions);
}

void ControlNode::AdvanceSettings(ControlActions& actions) {
  if (!IsBalancer()) {
    if (service_reader_.Advance(dissemination_.Records())) {
      view_stale_ = true;
      actions.events.push_back({ControlEventKind::kSettingsActivated,
                                service_reader_.Revision().value(), options_.service_name});
    }
    return;
  }
  if (!MayGoInService()) {
    return;
  }
  const base::Revision known = activator_.NewestKnown();
  const ActivationResult result = activator_.Advance(dissemination_.Records());
  if (result == ActivationResult::kActivated) {
    view_stale_ = true;
    election_stale_ = true;
    actions.events.push_back(
        {ControlEventKind::kSettingsActivated, activator_.Active().revision.value(), ""});
  }
  const bool newly_refused =
      result == ActivationResult::kRefused && activator_.NewestKnown() != known;
  if (newly_refused) {
    actions.events.push_back({ControlEventKind::kSettingsRefused, activator_.NewestKnown().value(),
                              base::FormatFindings(activator_.Findings())});
  }
}

// A balancer whose settings schema is older than the one that edits may use waits until the
// coordinator has seen it and stored its schema. Once it is in service it is counted, so edits
// can't require a newer schema any more.
bool ControlNode::MayGoInService() const {
  return activator_.Active().settings != nullptr ||
         options_.metadata.settings_schema >= roster_.settings_schema;
}

std::uint32_t ControlNode::MinSettingsSchema() const {
  std::uint32_t least = options_.metadata.settings_schema;
  for (const base::NodeId node : directory_.Balancers()) {
    least = std::min(least, directory_.Find(node)->metadata->settings_schema);
  }
  return least;
}

void ControlNode::RunCoordinator(base::TimePoint now, ControlActions& actions) {
  if (now < next_periodic_work_) {
    return;
  }
  next_periodic_work_ = now + kPeriodicWorkInterval;
  if (coordinator_.IsSettled(now)) {
    std::optional<settings::StoreTransaction> due = capabilities_.Tick(MinSettingsSchema(), now);
    if (due.has_value()) {
      actions.store_transaction = std::move(due);
    }
  }
  const std::optional<Roster> roster =
      coordinator_.Tick(directory_, roster_, capabilities_.Bound(), now);
  if (roster.has_value()) {
    actions.events.push_back({ControlEventKind::kRosterPublished, roster->epoch,
                              std::to_string(roster->members.size()) + " members"});
    Publish(KeyOf(RecordKind::kPlannerRoster), {roster->epoch, roster->sequence},
            EncodeRoster(*roster), now, actions);
  }
}

void ControlNode::RunPlanners(base::TimePoint now, ControlActions& actions) {
  const bool has_settings = activator_.Active().settings != nullptr;
  const bool settled = membership_.IsJoined() && now >= started_at_ + options_.settle_time;
  if (!has_settings || !settled) {
    return;  // planning with an incomplete member list would move buckets needlessly
  }
  const PlanningContext context = MakePlanningContext();
  if (std::exchange(election_stale_, false)) {
    planners_.Reelect(context, now);
  }
  for (const base::ServiceId service : std::exchange(agents_stale_, {})) {
    planners_.UpdateAgents(service, context, now);
  }
  if (now < planners_.NextDeadline()) {
    return;
  }
  for (const routing::BucketTable& table : planners_.Tick(context, now)) {
    actions.events.push_back(
        {ControlEventKind::kTablePublished, table.service.value(), Text(table.version)});
    Publish(KeyOf(RecordKind::kTable, table.service), VersionOf(table.version),
            routing::EncodeTable(table), now, actions);
  }
  for (const DeferredAnswer& late : planners_.TakeDeferredAnswers()) {
    const membership::Member* agent = directory_.Find(late.agent);
    if (agent != nullptr) {
      actions.envelopes.push_back({agent->metadata->control_address,
                                   transport::MessageKind::kControl, EncodeAnswer(late.answer)});
    }
  }
}

PlanningContext ControlNode::MakePlanningContext() const {
  return {roster_, directory_, *activator_.Active().settings,
          [this](base::ServiceId service) -> std::optional<routing::BucketTable> {
            const std::shared_ptr<const routing::BucketTable> table = TableOf(service);
            return table == nullptr ? std::nullopt : std::optional(*table);
          }};
}

std::optional<ElectedPlanner> ControlNode::PlannerOf(base::ServiceId service) const {
  return ElectPlanner(service, roster_, directory_);
}

std::shared_ptr<const routing::BucketTable> ControlNode::TableOf(base::ServiceId service) const {
  const auto found = tables_.find(service);
  return found == tables_.end() ? nullptr : found->second;
}

base::TimePoint ControlNode::ConfirmedAt() const {
  return IsBalancer() ? dissemination_.ConfirmedAt() : reporter_.ConfirmedAt();
}

void ControlNode::RebuildView(base::TimePoint now, ControlActions& actions) {
  if (!view_stale_ || now < next_view_at_) {
    return;
  }
  view_stale_ = false;
  next_view_at_ = now + options_.view_interval;
  view_ = IsBalancer() ? BuildBalancerView(activator_.Active(), tables_, ConfirmedAt())
                       : BuildAgentView(service_reader_, TableOf(options_.metadata.service),
                                        LiveAgentsOfOwnService(), ConfirmedAt());
  actions.view = view_;
}

}  // namespace gaugevalve::control
