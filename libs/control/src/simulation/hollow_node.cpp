#include "gaugevalve/control_simulation/hollow_node.h"

#include <algorithm>
#include <ctime>
#include <utility>

namespace gaugevalve::control_simulation {
namespace {

std::chrono::nanoseconds ThreadTime() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

}  // namespace

HollowNode::HollowNode(HollowNodeSettings settings) : settings_(std::move(settings)) {}

void HollowNode::OnStart(simulation::NodeContext& context) {
  context_ = &context;
  const membership::MemberMetadata& metadata = settings_.options.metadata;
  const transport::SenderIdentity identity{base::MakeNodeId(settings_.options.name),
                                           metadata.process_incarnation, metadata.control_address,
                                           metadata.versions};
  transport_ = std::make_unique<simulation::SimulatedTransport>(context, identity);
  settings_.options.seed = context.Random().NextUint64();
  core_ = std::make_unique<control::ControlNode>(settings_.options);
  for (const transport::MessageKind kind :
       {transport::MessageKind::kMembership, transport::MessageKind::kDissemination,
        transport::MessageKind::kControl}) {
    transport_->SetReceiver(kind, [this](const transport::Envelope& envelope) {
      control::ControlActions actions;
      core_->OnEnvelope(envelope, context_->Now(), actions);
      Perform(actions);
    });
  }
  if (settings_.preload != nullptr) {
    core_->Preload(*settings_.preload);
  }
  control::ControlActions actions;
  core_->Start(context.Now(), actions);
  next_periodic_work_ = context.Now() + context.Random().NextJitter(kPeriodicWorkInterval);
  Perform(actions);
}

void HollowNode::Measure(const std::function<void()>& work) {
  if (!settings_.measures_processor_time) {
    work();
    return;
  }
  const std::chrono::nanoseconds before = ThreadTime();
  work();
  processor_time_ += ThreadTime() - before;
}

void HollowNode::OnMessage(const simulation::Message& message) {
  Measure([&] { transport_->OnMessage(message); });
}

void HollowNode::OnTimer(simulation::TimerToken token) {
  Measure([&] { HandleTimer(token); });
}

void HollowNode::HandleTimer(simulation::TimerToken token) {
  if (token != armed_token_) {
    return;
  }
  armed_at_ = base::TimePoint::max();
  control::ControlActions actions;
  core_->OnTick(context_->Now(), actions);
  Perform(actions);
  if (context_->Now() >= next_periodic_work_) {
    RunPeriodicWork();
  }
}

void HollowNode::Perform(control::ControlActions& actions) {
  for (control::OutgoingEnvelope& envelope : actions.envelopes) {
    transport_->Send(envelope.destination, envelope.kind, std::move(envelope.payload));
  }
  for (const control::ControlEvent& event : actions.events) {
    if (event.kind == control::ControlEventKind::kSettingsActivated) {
      activations_.emplace_back(event.number);
    }
  }
  if (actions.store_transaction.has_value()) {
    RunTransaction(*actions.store_transaction);
  }
  ArmTimer();
}

void HollowNode::RunTransaction(const settings::StoreTransaction& transaction) {
  const std::optional<settings::StoreTransactionAnswer> answer = settings_.store->Run(transaction);
  if (!answer.has_value()) {
    core_->OnStoreAnswerLost(context_->Now());
    return;
  }
  control::ControlActions actions;
  core_->OnStoreAnswer(*answer, context_->Now(), actions);
  Perform(actions);
}

void HollowNode::RunPeriodicWork() {
  next_periodic_work_ = context_->Now() + kPeriodicWorkInterval;
  control::ControlActions actions;
  if (core_->IsBalancer()) {
    UseStore(actions);
  } else {
    UpdateReport(actions);
  }
  Perform(actions);
}

void HollowNode::UseStore(control::ControlActions& actions) {
  const base::TimePoint now = context_->Now();
  const bool wanted = core_->ShouldUseStore(now);
  if (wanted) {
    const std::optional<store::WatchSnapshot> snapshot =
        settings_.store->ReadSince(store_revision_);
    if (snapshot.has_value()) {
      store_revision_ = snapshot->revision;
      core_->OnStoreSnapshot(*snapshot, now, actions);
    }
    const std::optional<std::uint64_t> token =
        settings_.store->HoldLease(base::MakeNodeId(settings_.options.name), kLeaseTtl, now);
    if (token.has_value()) {
      lease_valid_until_ = now + kLeaseTtl;
      holds_lease_ = true;
      core_->OnLeaseHeld(*token, now, actions);
    }
  }
  if (holds_lease_ && now >= lease_valid_until_) {
    holds_lease_ = false;
    core_->OnLeaseLost(now, actions);
  }
}

void HollowNode::UpdateReport(control::ControlActions& actions) {
  const membership::MemberMetadata& metadata = settings_.options.metadata;
  const std::shared_ptr<const routing::BucketTable> table = core_->TableOf(metadata.service);
  routing::AgentReport report;
  report.service = metadata.service;
  report.node = base::MakeNodeId(settings_.options.name);
  report.incarnation = metadata.process_incarnation;
  report.total_slots = 1;
  if (table != nullptr) {
    report.table_version = table->version;
    report.flows_in_buckets.assign(table->buckets.size(), 0);
  }
  core_->UpdateReport(report, context_->Now(), actions);
}

void HollowNode::ArmTimer() {
  const base::TimePoint now = context_->Now();
  const base::TimePoint due = std::max(now, std::min(core_->NextWakeUp(), next_periodic_work_));
  if (due < armed_at_) {
    armed_at_ = due;
    context_->SetTimer(due - now, ++armed_token_);
  }
}

}  // namespace gaugevalve::control_simulation
