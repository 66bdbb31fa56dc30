#include "planner_host.h"

#include <algorithm>
#include <utility>

#include "gaugevalve/control/node_view.h"
#include "gaugevalve/control/planner_host.h"
#include "gaugevalve/routing/table_codec.h"

namespace gaugevalve::lab {
namespace {

constexpr std::uint64_t kEpoch = 1;
constexpr base::Duration kTickInterval = std::chrono::milliseconds(100);
// How often an agent measures itself and looks whether a report is due.
constexpr base::Duration kMeasureInterval = std::chrono::milliseconds(200);
constexpr base::Duration kWelcomeDelay = std::chrono::milliseconds(10);

void ClearChains(routing::TableDelta& delta) {
  for (routing::BucketChange& change : delta.changes) {
    change.bucket.previous_owners.clear();
  }
}

void ClearChains(routing::BucketTable& table) {
  for (routing::Bucket& bucket : table.buckets) {
    bucket.previous_owners.clear();
  }
}

// Takes from `newer` every bucket that is newer there.
void Merge(routing::BucketTable& table, const routing::BucketTable& newer) {
  table.buckets.resize(newer.buckets.size());
  for (std::size_t index = 0; index < newer.buckets.size(); ++index) {
    if (newer.buckets[index].version > table.buckets[index].version) {
      table.buckets[index] = newer.buckets[index];
    }
  }
  table.agents = newer.agents;
  table.version = newer.version;
}

}  // namespace

PlannerHost::PlannerHost(World& world, std::size_t service) : world_(world), service_(service) {}

std::vector<AgentHost*> PlannerHost::Agents() const {
  std::vector<AgentHost*> agents;
  for (const std::unique_ptr<AgentHost>& agent : world_.agents) {
    if (agent->service == service_) {
      agents.push_back(agent.get());
    }
  }
  return agents;
}

void PlannerHost::Start() {
  planner_ =
      std::make_unique<routing::ServicePlanner>(world_.service_ids[service_], kEpoch, generation_,
                                                world_.scenario.services[service_].planner);
  for (const AgentHost* agent : Agents()) {
    routing::AgentStatus status;
    status.entry = {agent->node, agent->incarnation, agent->address, agent->zone};
    status.flow_capacity = world_.scenario.services[service_].flow_capacity;
    known_.push_back(status);
  }
  planner_->SetAgents(known_, world_.Now());
  const std::optional<routing::TableDelta> first = planner_->Step(world_.Now());
  if (first) {
    const SharedUpdate update = MakeUpdate(*first, planner_->Table());
    NoteListed();
    for (const std::unique_ptr<BalancerHost>& balancer : world_.balancers) {
      ArriveAtBalancer(balancer->index, update);
    }
    for (const AgentHost* agent : Agents()) {
      ArriveAtAgent(agent->index, update);
    }
  }
  world_.Schedule(kTickInterval, [this] { Tick(); });
  for (AgentHost* agent : Agents()) {
    agent->core->UpdateTable(agent->table, world_.Now());  // as if a report had been answered
    const std::size_t index = agent->index;
    world_.Schedule(world_.network_random.NextJitter(world_.scenario.lag.report_interval),
                    [this, index] { Report(index); });
  }
}

// Membership notices a fault only if it lasts until then, and a return likewise.
void PlannerHost::NoteAgent(const AgentHost& noted) {
  const std::size_t index = noted.index;
  const bool had_control = noted.HasControl();
  world_.Schedule(world_.scenario.lag.membership, [this, index, had_control] {
    const AgentHost& agent = *world_.agents[index];
    if (agent.HasControl() == had_control) {
      TellPlanner(agent);
    }
  });
}

void PlannerHost::TellPlanner(const AgentHost& agent) {
  routing::AgentStatus status;
  status.entry = {agent.node, agent.incarnation, agent.address, agent.zone};
  status.weight = agent.weight;
  status.flow_capacity = world_.scenario.services[service_].flow_capacity;
  status.liveness = !agent.HasControl() ? routing::AgentLiveness::kDead
                    : agent.draining    ? routing::AgentLiveness::kLeaving
                                        : routing::AgentLiveness::kLive;
  std::erase_if(known_, [&](const routing::AgentStatus& other) {
    return other.entry.node == status.entry.node;
  });
  known_.push_back(status);
  planner_->SetAgents(known_, world_.Now());
}

void PlannerHost::NoteListed() {
  for (AgentHost* agent : Agents()) {
    const bool was_listed =
        std::exchange(agent->listed, planner_->Table().FindAgent(agent->node) != nullptr);
    const bool is_given_up = was_listed && !agent->listed && agent->alive;
    agent->was_taken_for_dead = agent->was_taken_for_dead || is_given_up;
  }
}

void PlannerHost::Welcome(BalancerHost& balancer) {
  const std::size_t index = balancer.index;
  world_.Schedule(kWelcomeDelay, [this, index] {
    const BalancerHost* peer = FirstRunning();
    BalancerHost& joined = *world_.balancers[index];
    if (peer != nullptr && joined.tables[service_].version < peer->tables[service_].version) {
      joined.tables[service_] = peer->tables[service_];
      joined.control.Add(routing::EncodeTable(joined.tables[service_]).size());
      ShowTable(joined);
    }
  });
}

void PlannerHost::Welcome(AgentHost& agent) {
  const std::size_t index = agent.index;
  world_.Schedule(kWelcomeDelay, [this, index] {
    const BalancerHost* peer = FirstRunning();
    AgentHost& joined = *world_.agents[index];
    if (peer != nullptr && joined.table.version < peer->tables[service_].version) {
      joined.table = peer->tables[service_];
      joined.control.Add(routing::EncodeTable(joined.table).size());
      ShowTable(joined);
    }
    Report(index);
  });
}

BalancerHost* PlannerHost::FirstRunning() const {
  for (const std::unique_ptr<BalancerHost>& balancer : world_.balancers) {
    if (balancer->IsRunning()) {
      return balancer.get();
    }
  }
  return nullptr;
}

void PlannerHost::Tick() {
  world_.Schedule(kTickInterval, [this] { Tick(); });
  CheckPlanner();
  if (world_.balancers[balancer_]->IsRunning()) {
    Step(*planner_);
  }
}

void PlannerHost::CheckPlanner() {
  if (world_.balancers[balancer_]->IsRunning()) {
    lost_since_.reset();
    return;
  }
  lost_since_ = lost_since_.value_or(world_.Now());
  BalancerHost* next = FirstRunning();
  if (next != nullptr && world_.Now() - *lost_since_ >= world_.scenario.lag.membership) {
    TakeOver(*next);
  }
}

void PlannerHost::TakeOver(BalancerHost& balancer) {
  ++generation_;
  auto successor =
      std::make_unique<routing::ServicePlanner>(world_.service_ids[service_], kEpoch, generation_,
                                                world_.scenario.services[service_].planner);
  if (!balancer.tables[service_].buckets.empty()) {
    successor->TakeOver(balancer.tables[service_]);
  }
  successor->SetAgents(known_, world_.Now());
  former_.push_back({balancer_, std::exchange(planner_, std::move(successor))});
  balancer_ = balancer.index;
  lost_since_.reset();
}

void PlannerHost::OnThaw(const BalancerHost& balancer) {
  for (FormerPlanner& former : former_) {
    if (former.balancer == balancer.index) {
      Step(*former.planner);
    }
  }
  std::erase_if(former_,
                [&](const FormerPlanner& former) { return former.balancer == balancer.index; });
}

void PlannerHost::Step(routing::ServicePlanner& planner) {
  const routing::PlannerCounters before = planner.Counters();
  const std::optional<routing::TableDelta> delta = planner.Step(world_.Now());
  if (!delta) {
    return;
  }
  const routing::PlannerCounters& after = planner.Counters();
  ServiceResults& results = world_.results[service_];
  ++results.deltas;
  results.moved_buckets += after.forced_moves - before.forced_moves;
  results.moved_buckets += after.optional_moves - before.optional_moves;
  NoteListed();
  Distribute(MakeUpdate(*delta, planner.Table()));
}

PlannerHost::SharedUpdate PlannerHost::MakeUpdate(const routing::TableDelta& delta,
                                                  const routing::BucketTable& whole) const {
  auto update = std::make_shared<Update>();
  update->delta = delta;
  update->whole = whole;
  if (!world_.mechanisms.chain_walk) {
    ClearChains(update->delta);
    ClearChains(update->whole);
  }
  update->delta_bytes = routing::EncodeDelta(update->delta).size();
  update->whole_bytes = routing::EncodeTable(update->whole).size();
  return update;
}

void PlannerHost::Distribute(const SharedUpdate& update) {
  for (const std::unique_ptr<BalancerHost>& balancer : world_.balancers) {
    const base::TimePoint at =
        std::max(balancer->last_table_arrival, world_.Now() + balancer->table_delay);
    balancer->last_table_arrival = at;
    const std::size_t index = balancer->index;
    world_.queue.Schedule(at, [this, index, update] { ArriveAtBalancer(index, update); });
  }
  for (AgentHost* agent : Agents()) {
    const base::TimePoint at =
        std::max(agent->last_table_arrival, world_.Now() + agent->table_delay);
    agent->last_table_arrival = at;
    const std::size_t index = agent->index;
    world_.queue.Schedule(at, [this, index, update] { ArriveAtAgent(index, update); });
  }
}

std::size_t PlannerHost::ApplyUpdate(routing::BucketTable& table, const Update& update) {
  if (table.buckets.size() == update.whole.buckets.size() && table.Apply(update.delta)) {
    return update.delta_bytes;
  }
  if (update.whole.version <= table.version) {
    return update.delta_bytes;  // of a planner that has been replaced: refused
  }
  Merge(table, update.whole);
  return update.delta_bytes + update.whole_bytes;
}

void PlannerHost::ArriveAtBalancer(std::size_t index, const SharedUpdate& update) {
  BalancerHost& balancer = *world_.balancers[index];
  if (!balancer.alive) {
    return;
  }
  if (balancer.frozen) {
    world_.Schedule(kTickInterval, [this, index, update] { ArriveAtBalancer(index, update); });
    return;
  }
  balancer.control.Add(ApplyUpdate(balancer.tables[service_], *update));
  ShowTable(balancer);
}

void PlannerHost::ArriveAtAgent(std::size_t index, const SharedUpdate& update) {
  AgentHost& agent = *world_.agents[index];
  if (!agent.HasControl()) {
    return;  // a frozen one fetches the table when it is back
  }
  agent.control.Add(ApplyUpdate(agent.table, *update));
  ShowTable(agent);
}

void PlannerHost::ShowTable(AgentHost& agent) const {
  agent.reporter.OnTableChanged(agent.table.version);
  agent.core->UpdateTable(agent.table, agent.reporter.ConfirmedAt());
}

void PlannerHost::ShowTable(BalancerHost& balancer) const {
  auto view = std::make_shared<control::NodeView>();
  view->confirmed_at = world_.Now();
  for (std::size_t service = 0; service < balancer.tables.size(); ++service) {
    control::ServiceView service_view;
    service_view.id = world_.service_ids[service];
    service_view.name = world_.scenario.services[service].name;
    service_view.virtual_address = World::VirtualAddress(service);
    service_view.table = std::make_shared<routing::BucketTable>(balancer.tables[service]);
    view->services.push_back(std::move(service_view));
  }
  balancer.core->SetView(std::move(view));
}

void PlannerHost::Report(std::size_t index) {
  AgentHost& agent = *world_.agents[index];
  if (!agent.alive) {
    return;
  }
  world_.Schedule(kMeasureInterval, [this, index] { Report(index); });
  if (agent.frozen) {
    return;
  }
  agent.core->Tick(world_.Now());
  agent.reporter.SetPlanner(base::NodeId(balancer_ + 1));
  agent.reporter.Update(Measure(agent));
  const std::optional<control::NumberedReport> numbered = agent.reporter.Tick(world_.Now());
  if (!numbered) {
    return;
  }
  agent.reported_busy_seconds = agent.endpoint->BusySlotSeconds();
  agent.reported_at = world_.Now();
  const std::size_t bytes = control::EncodeReport(*numbered).size();
  agent.control.Add(bytes);
  if (agent.cut_off) {
    return;
  }
  const base::Duration way =
      world_.scenario.lag.report + world_.Latency(agent.zone, world_.balancers[balancer_]->zone);
  world_.Schedule(way,
                  [this, sent = SentReport{index, *numbered, bytes}] { ArriveAtPlanner(sent); });
}

routing::AgentReport PlannerHost::Measure(AgentHost& agent) const {
  routing::AgentReport report;
  agent.core->FillReport(report);
  report.busy_slots = agent.endpoint->BusySlots();
  report.total_slots = agent.endpoint->TotalSlots();
  report.queued_requests = agent.endpoint->QueuedRequests();
  const double busy_seconds = agent.endpoint->BusySlotSeconds();
  report.busy_slot_time = std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(busy_seconds - agent.reported_busy_seconds));
  report.measured_time = world_.Now() - agent.reported_at;
  constexpr base::Duration kLongAgo = std::chrono::hours(24);
  report.endpoint_uptime = agent.warm_start ? kLongAgo : world_.Now() - agent.started_at;
  return report;
}

void PlannerHost::ArriveAtPlanner(const SentReport& sent) {
  BalancerHost& balancer = *world_.balancers[balancer_];
  if (!balancer.IsRunning()) {
    return;
  }
  balancer.control.Add(sent.bytes);
  const routing::AgentReport& report = sent.numbered.report;
  const routing::ReportOutcome outcome = planner_->HandleReport(report, world_.Now());
  if (!routing::ServicePlanner::MayAnswer(outcome)) {
    return;
  }
  planner_->NoteAnswered(report.node, report.incarnation, world_.Now());
  const control::ReportAnswer answer{sent.numbered.sequence,
                                     planner_->ListedSince(report.node, report.incarnation),
                                     control::FlowCountsOutcomeOf(outcome)};
  balancer.control.Add(control::EncodeAnswer(answer).size());
  const std::size_t index = sent.agent;
  world_.Schedule(world_.Latency(balancer.zone, world_.agents[index]->zone),
                  [this, index, answer] { ArriveAnswer(index, answer); });
}

void PlannerHost::ArriveAnswer(std::size_t index, const control::ReportAnswer& answer) {
  AgentHost& agent = *world_.agents[index];
  if (!agent.HasControl()) {
    return;
  }
  agent.control.Add(control::EncodeAnswer(answer).size());
  agent.reporter.HandleAnswer(answer, agent.table.version);
  agent.core->UpdateTable(agent.table, agent.reporter.ConfirmedAt());
  if (answer.table_version > agent.table.version) {
    const base::Duration round_trip =
        2 * world_.Latency(agent.zone, world_.balancers[balancer_]->zone);
    world_.Schedule(round_trip, [this, index] { FetchTable(index); });
  }
}

// The agent compares its records with the planner's node, which sends what it lacks.
void PlannerHost::FetchTable(std::size_t index) {
  AgentHost& agent = *world_.agents[index];
  const routing::BucketTable& newest = planner_->Table();
  const bool planner_runs = world_.balancers[balancer_]->IsRunning();
  if (!agent.HasControl() || !planner_runs || newest.version <= agent.table.version) {
    return;
  }
  routing::BucketTable whole = newest;
  if (!world_.mechanisms.chain_walk) {
    ClearChains(whole);
  }
  Merge(agent.table, whole);
  agent.control.Add(routing::EncodeTable(whole).size());
  ShowTable(agent);
}

}  // namespace gaugevalve::lab
