// Control plane of one node, balancer or agent: membership, records, active settings, roster and
// planners in one decision core.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "gaugevalve/base/random_source.h"
#include "gaugevalve/control/agent_contacts.h"
#include "gaugevalve/control/agent_reporter.h"
#include "gaugevalve/control/control_actions.h"
#include "gaugevalve/control/coordinator.h"
#include "gaugevalve/control/member_directory.h"
#include "gaugevalve/control/node_view.h"
#include "gaugevalve/control/planner_host.h"
#include "gaugevalve/control/roster.h"
#include "gaugevalve/control/settings_activator.h"
#include "gaugevalve/dissemination/dissemination_core.h"
#include "gaugevalve/membership/membership.h"
#include "gaugevalve/settings/capability_keeper.h"
#include "gaugevalve/store/watch_session.h"
#include "gaugevalve/transport/envelope.h"

namespace gaugevalve::control {

// Identity of this node and options of its parts.
struct ControlNodeOptions {
  std::string name;                     // the node's configured name
  membership::MemberMetadata metadata;  // `service` and `endpoint_name` for agents
  std::string service_name;             // agents: name of its service in the settings tree
  membership::MembershipOptions membership;
  dissemination::DisseminationOptions dissemination;  // self, zone and interest are set by the node
  CoordinatorOptions coordinator;
  settings::CapabilityKeeperOptions capabilities;
  PlannerHostOptions planners;
  AgentReporterOptions reports;
  // Number of balancers in each region that read the store and compete for the coordinator's lease.
  std::size_t store_readers_per_region = 2;
  // A node neither reads the store nor plans until this time after its start, so that it knows its
  // group first.
  base::Duration settle_time = std::chrono::seconds(2);
  // Least time between two views.
  base::Duration view_interval = std::chrono::milliseconds(10);
  std::uint64_t seed = 0;
  InjectedFaults faults;
};

// Decision core. The daemons and the emulator drive it alike: they pass in messages, the time,
// deliveries of the store and the state of the lease, and perform ControlActions. Not thread-safe.
class ControlNode {
 public:
  explicit ControlNode(const ControlNodeOptions& options);

  // Adds members that are known from elsewhere. Must be called before Start(); a shortcut for
  // hollow nodes and tests.
  void Preload(std::span<const membership::Member> members);

  // Starts and joins the group. Must be called once, before the methods below.
  void Start(base::TimePoint now, ControlActions& actions);

  // Handles a message; kinds of other tasks are ignored.
  void OnEnvelope(const transport::Envelope& envelope, base::TimePoint now,
                  ControlActions& actions);

  // Agents: notes that the sender's process runs. Called for each message of the transport. A newer
  // process of the same node counts as the known one until membership has learned of it.
  void NoteContact(const transport::SenderIdentity& sender, transport::MessageKind kind,
                   base::TimePoint now);

  // Agents: contacts with other agents of the own service, to be reported to the data path.
  AgentContacts& Contacts() { return contacts_; }

  // Performs the work that is due. Early calls are harmless.
  void OnTick(base::TimePoint now, ControlActions& actions);
  base::TimePoint NextWakeUp() const;

  // Tells whether this balancer should watch the settings in the store and compete for the
  // coordinator's lease. It depends on the members, so it changes with them.
  bool ShouldUseStore(base::TimePoint now) const;

  // Deliveries of the watch on the settings in the store.
  void OnStoreSnapshot(const store::WatchSnapshot& snapshot, base::TimePoint now,
                       ControlActions& actions);
  void OnStoreChanges(const store::WatchChanges& changes, base::TimePoint now,
                      ControlActions& actions);

  // Changes of the coordinator's lease; `epoch` is its fencing token.
  void OnLeaseHeld(std::uint64_t epoch, base::TimePoint now, ControlActions& actions);
  void OnLeaseLost(base::TimePoint now, ControlActions& actions);

  // Result of ControlActions::store_transaction.
  void OnStoreAnswer(const settings::StoreTransactionAnswer& answer, base::TimePoint now,
                     ControlActions& actions);
  void OnStoreAnswerLost(base::TimePoint now) { capabilities_.OnAnswerLost(now); }

  // Tells whether the lease should be given back.
  bool MustResignLease() const { return coordinator_.MustResign(); }

  // Sets an agent's newest measurements for its planner.
  void UpdateReport(const routing::AgentReport& report, base::TimePoint now,
                    ControlActions& actions);

  // Announces that this node is leaving service, or that it is back.
  void SetLeaving(bool leaving, base::TimePoint now, ControlActions& actions);

  // Leaves the group. The owner must continue to call OnTick() for a second, so that the
  // announcement is sent.
  void Leave(base::TimePoint now, ControlActions& actions);

  // For status pages and tests. References are valid until the next call.
  const membership::Membership& Members() const { return membership_; }
  const MemberDirectory& Directory() const { return directory_; }
  const dissemination::DisseminationCore& Dissemination() const { return dissemination_; }
  const SettingsActivator& Settings() const { return activator_; }
  const Roster& NewestRoster() const { return roster_; }
  const Coordinator& CoordinatorState() const { return coordinator_; }
  const PlannerHost& Planners() const { return planners_; }
  std::shared_ptr<const NodeView> View() const { return view_; }
  std::shared_ptr<const routing::BucketTable> TableOf(base::ServiceId service) const;
  const ControlNodeOptions& Options() const { return options_; }
  bool IsBalancer() const { return options_.metadata.role == membership::Role::kBalancer; }

  // Returns the elected planner of a service as this node sees it.
  std::optional<ElectedPlanner> PlannerOf(base::ServiceId service) const;

 private:
  void HandleMembershipActions(membership::MembershipActions& from, base::TimePoint now,
                               ControlActions& actions);
  void HandleMemberEvent(const membership::MembershipEvent& event, base::TimePoint now);
  void UpsertPeer(const membership::Member& member);
  bool IsAgentOfOwnService(const membership::Member& member) const;
  std::shared_ptr<const routing::LiveAgents> LiveAgentsOfOwnService();
  void HandleDisseminationActions(dissemination::Actions& from, base::TimePoint now,
                                  ControlActions& actions);
  void HandleChangedRecord(const dissemination::RecordKey& key, base::TimePoint now,
                           ControlActions& actions);
  void HandleTableRecord(base::ServiceId service, const std::string& bytes, base::TimePoint now,
                         ControlActions& actions);
  void HandleControlMessage(const transport::Envelope& envelope, base::TimePoint now,
                            ControlActions& actions);
  void Publish(const dissemination::RecordKey& key, const dissemination::RecordVersion& version,
               std::string value, base::TimePoint now, ControlActions& actions);
  void PublishFromStore(const std::vector<store::KeyValue>& key_values, base::TimePoint now,
                        ControlActions& actions);
  void UpdateDerivedState(base::TimePoint now, ControlActions& actions);
  void AdvanceSettings(ControlActions& actions);
  bool MayGoInService() const;
  std::uint32_t MinSettingsSchema() const;
  void RunCoordinator(base::TimePoint now, ControlActions& actions);
  void RunPlanners(base::TimePoint now, ControlActions& actions);
  void SendReport(base::TimePoint now, ControlActions& actions);
  void RebuildView(base::TimePoint now, ControlActions& actions);
  PlanningContext MakePlanningContext() const;
  base::TimePoint ConfirmedAt() const;

  ControlNodeOptions options_;
  base::NodeId self_;
  base::RandomSource random_;
  membership::Membership membership_;
  MemberDirectory directory_;
  dissemination::DisseminationCore dissemination_;
  SettingsActivator activator_;           // balancers
  ServiceSettingsReader service_reader_;  // agents
  Coordinator coordinator_;
  settings::CapabilityKeeper capabilities_;
  PlannerHost planners_;
  AgentReporter reporter_;
  Roster roster_;
  std::map<base::ServiceId, std::shared_ptr<const routing::BucketTable>> tables_;
  AgentContacts contacts_;
  std::shared_ptr<const routing::LiveAgents> live_agents_;  // null after a change
  std::shared_ptr<const NodeView> view_;
  base::TimePoint started_at_{};
  base::TimePoint next_view_at_{};
  base::TimePoint next_periodic_work_{};  // coordinator and capabilities, a few times a second
  base::TimePoint next_report_{};         // next attempt while no planner is known
  bool view_stale_ = true;
  bool settings_stale_ = false;
  bool election_stale_ = false;
  std::set<base::ServiceId> agents_stale_;  // services whose agents changed
};

}  // namespace gaugevalve::control
