#include "hand_over_simulation.h"

#include <algorithm>
#include <chrono>
#include <string>

namespace gaugevalve::proofs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kAgents = 3;
constexpr std::uint32_t kSlots = 4;
constexpr base::Duration kTimeout = seconds(6);
constexpr base::Duration kTickPeriod = milliseconds(20);
constexpr std::size_t kBodySizes[] = {0, 10, requests::kMaxChunkBytes + 5,
                                      requests::kMaxChunkBytes*(requests::kWindowFrames + 2)};
constexpr std::size_t kPartBytes =
    3 * requests::kMaxChunkBytes / 2;  // part of a body or an answer that is written in one call

requests::HandOverLimits SmallLimits(const requests::HandOverMechanisms& mechanisms,
                                     std::size_t remembered_origins) {
  requests::HandOverLimits limits;
  limits.origin_capacity = 6;
  limits.in_flight_per_peer = 3;
  limits.executor_capacity = 2;
  limits.remembered_per_origin = 1;
  limits.remembered_origins = remembered_origins;
  limits.retry_share = 1.0;
  limits.mechanisms = mechanisms;
  return limits;
}

requests::RequestId IdOf(std::uint64_t request) { return requests::RequestId(request + 1); }
std::uint64_t NumberOf(requests::RequestId id) { return id.value() - 1; }

}  // namespace

HandOverSimulation::HandOverSimulation(const requests::HandOverMechanisms& mechanisms,
                                       std::size_t remembered_origins)
    : limits_(SmallLimits(mechanisms, remembered_origins)), now_(seconds(10'000)) {
  table_ = std::make_shared<routing::BucketTable>();
  for (std::uint32_t number = 0; number < kAgents; ++number) {
    StartIncarnation(NodeAt(number));
    SetListed(number, true);
  }
  for (std::uint32_t number = 0; number < kAgents; ++number) {
    DeliverTable(number);
  }
  AdvanceTime(1);
  DeliverAll();
}

void HandOverSimulation::StartIncarnation(base::NodeId node) {
  Agent agent;
  agent.incarnation = base::Incarnation(next_incarnation_);
  agent.random = std::make_unique<base::RandomSource>(next_incarnation_);
  ++next_incarnation_;
  agent.core =
      std::make_unique<requests::HandOver>(node, agent.incarnation, limits_, *agent.random);
  agents_[node] = std::move(agent);
}

base::NodeId HandOverSimulation::NodeAt(std::uint32_t number) const {
  return base::NodeId(number % kAgents + 1);
}

HandOverSimulation::Agent* HandOverSimulation::FindLive(base::NodeId node) {
  const auto found = agents_.find(node);
  return found == agents_.end() ? nullptr : &found->second;
}

HandOverSimulation::Agent* HandOverSimulation::FindRunning(base::NodeId node) {
  Agent* const agent = FindLive(node);
  return agent == nullptr || agent->is_frozen ? nullptr : agent;
}

bool HandOverSimulation::IsCurrentOrigin(const OracleEntry& entry, base::NodeId node) {
  const Agent* const agent = FindLive(node);
  return agent != nullptr && entry.origin == node && entry.origin_incarnation == agent->incarnation;
}

// --- Callers and origins ---

void HandOverSimulation::Request(std::uint32_t agent, std::uint32_t what) {
  const base::NodeId node = NodeAt(agent);
  Agent* const origin = FindRunning(node);
  if (origin == nullptr) {
    return;
  }
  constexpr std::uint32_t kSafeEvery = 2;
  const std::uint64_t number =
      oracle_.Add(what % kSafeEvery == 0, kBodySizes[what / 2 % std::size(kBodySizes)],
                  kBodySizes[what / 8 % std::size(kBodySizes)]);
  OracleEntry& entry = oracle_.Of(number);
  entry.deadline = now_ + kTimeout;
  entry.origin = node;
  entry.origin_incarnation = origin->incarnation;
  if (!OfferFrom(node, number, false)) {
    oracle_.OnRefused(number, requests::RequestOutcome::kNotRun);
  }
}

bool HandOverSimulation::OfferFrom(base::NodeId node, std::uint64_t request, bool was_handed_over) {
  requests::LocalSituation situation;
  situation.was_handed_over = was_handed_over;
  situation.is_draining = true;
  const auto need = requests::FindHandOverNeed(situation, limits_);
  if (!need) {
    return false;
  }
  requests::HandOverRequest offered;
  offered.id = IdOf(request);
  offered.head.set_method("POST");
  offered.head.set_scheme("https");
  offered.head.set_authority("proof");
  offered.head.set_path("/" + std::to_string(request));
  offered.deadline = oracle_.Of(request).deadline;
  offered.is_safe = oracle_.Of(request).is_safe;
  offered.was_handed_over = was_handed_over;
  requests::HandOverActions actions;
  if (!FindLive(node)->core->Origin().Offer(offered, *need, now_, actions)) {
    return false;
  }
  oracle_.OnHandedOver(request);
  Apply(node, actions);
  SendBody(node, request);
  return true;
}

// Sends the body in parts until the core reports that it is full.
void HandOverSimulation::SendBody(base::NodeId node, std::uint64_t request) {
  OracleEntry& entry = oracle_.Of(request);
  Agent* const agent = FindLive(node);
  requests::HandOverActions actions;
  bool has_room =
      !entry.has_ended && IsCurrentOrigin(entry, node) && entry.body_given <= entry.body.size();
  while (has_room && entry.body_given < entry.body.size()) {
    const std::string part = entry.body.substr(entry.body_given, kPartBytes);
    entry.body_given += part.size();
    has_room = agent->core->Origin().WriteBody(IdOf(request), part, now_, actions);
  }
  if (has_room) {
    agent->core->Origin().FinishBody(IdOf(request), now_, actions);
    ++entry.body_given;  // one more than the size: the end was sent too
  }
  Apply(node, actions);
}

void HandOverSimulation::CancelRequest(std::uint32_t request) {
  if (oracle_.Size() == 0) {
    return;
  }
  const std::uint64_t number = request % oracle_.Size();
  OracleEntry& entry = oracle_.Of(number);
  Agent* const agent = FindRunning(entry.origin);
  if (entry.has_ended || agent == nullptr || !IsCurrentOrigin(entry, entry.origin)) {
    return;
  }
  oracle_.OnAbandoned(number);
  requests::HandOverActions actions;
  agent->core->Origin().Cancel(IdOf(number), actions);
  Apply(entry.origin, actions);
}

void HandOverSimulation::PauseAnswer(std::uint32_t request, bool is_paused) {
  if (oracle_.Size() == 0) {
    return;
  }
  const std::uint64_t number = request % oracle_.Size();
  const base::NodeId node = oracle_.Of(number).origin;
  if (Agent* const agent = FindRunning(node)) {
    requests::HandOverActions actions;
    agent->core->Origin().SetAnswerPaused(IdOf(number), is_paused, now_, actions);
    Apply(node, actions);
  }
}

void HandOverSimulation::Apply(base::NodeId node, const requests::HandOverActions& actions) {
  constexpr std::size_t kMaxMessages = 3'000;
  for (const requests::OutgoingMessage& outgoing : actions.send) {
    if (messages_.size() < kMaxMessages) {
      messages_.push_back({node, outgoing});
    }
  }
  for (const requests::OriginEvent& event : actions.origin) {
    ApplyOriginEvent(node, event);
  }
  for (const requests::ExecutorEvent& event : actions.executor) {
    ApplyExecutorEvent(node, event);
  }
  CheckBounds();
}

void HandOverSimulation::ApplyOriginEvent(base::NodeId node, const requests::OriginEvent& event) {
  const std::uint64_t number = NumberOf(event.request);
  if (!IsCurrentOrigin(oracle_.Of(number), node)) {
    return;  // the caller's connection is at another agent
  }
  if (const auto* const bytes = std::get_if<requests::AnswerBytesReceived>(&event.what)) {
    oracle_.OnAnswerBytes(number, bytes->bytes);
  } else if (const auto* const refused = std::get_if<requests::HandOverRefused>(&event.what)) {
    oracle_.OnRefused(number, refused->refusal.outcome);
  } else if (std::holds_alternative<requests::AnswerHeadReceived>(event.what)) {
    oracle_.OnAnswerHead(number);
  } else if (std::holds_alternative<requests::AnswerEnded>(event.what)) {
    oracle_.OnAnswerCompleted(number);
  } else if (std::holds_alternative<requests::AnswerAborted>(event.what)) {
    oracle_.OnAnswerAborted(number);
  } else {
    SendBody(node, number);
  }
}

// --- Executors and their endpoints ---

HandOverSimulation::Run* HandOverSimulation::FindRun(base::NodeId node,
                                                     const requests::HandOverId& id) {
  const Agent* const agent = FindLive(node);
  const auto found = std::find_if(runs_.begin(), runs_.end(), [&](const Run& run) {
    return run.agent == node && run.incarnation == agent->incarnation && run.id == id &&
           run.stage != Run::Stage::kEnded;
  });
  return found == runs_.end() ? nullptr : &*found;
}

void HandOverSimulation::ApplyExecutorEvent(base::NodeId node,
                                            const requests::ExecutorEvent& event) {
  if (const auto* const offer = std::get_if<requests::RunOffered>(&event.what)) {
    HandleOffer(node, event.run, *offer);
    return;
  }
  Run* const run = FindRun(node, event.run);
  if (run == nullptr) {
    return;
  }
  if (const auto* const bytes = std::get_if<requests::BodyBytesReceived>(&event.what)) {
    run->body += bytes->bytes;
    oracle_.OnBodyReceived(run->request, run->body, false);
  } else if (std::holds_alternative<requests::BodyEnded>(event.what)) {
    oracle_.OnBodyReceived(run->request, run->body, true);
  } else if (std::holds_alternative<requests::AnswerWritable>(event.what)) {
    run->has_room = true;
  } else {
    run->stage = Run::Stage::kEnded;
  }
}

void HandOverSimulation::HandleOffer(base::NodeId node, const requests::HandOverId& id,
                                     const requests::RunOffered& offer) {
  Agent& agent = *FindLive(node);
  const std::uint64_t request = std::stoull(offer.head.path().substr(1));
  Run run{
      .agent = node, .incarnation = agent.incarnation, .id = id, .request = request, .body = {}};
  requests::HandOverActions actions;
  if (agent.is_draining || agent.is_busy) {
    const bool was_handed_on = OfferFrom(node, request, true);
    if (!was_handed_on) {
      agent.core->Executor().Refuse(
          id, {requests::RequestOutcome::kNotRun, requests::RefusalReason::kDraining}, now_,
          actions);
    }
  } else {
    runs_.push_back(run);
    agent.core->Executor().Accept(id, actions);
  }
  Apply(node, actions);
}

void HandOverSimulation::AdvanceRun(std::uint32_t run, std::uint32_t outcome) {
  std::erase_if(runs_, [](const Run& old) { return old.stage == Run::Stage::kEnded; });
  if (runs_.empty()) {
    return;
  }
  Run& chosen = runs_[run % runs_.size()];
  Agent* const agent = FindRunning(chosen.agent);
  if (agent == nullptr || agent->incarnation != chosen.incarnation) {
    return;
  }
  const base::NodeId node = chosen.agent;
  constexpr std::uint32_t kFailsEvery = 8;
  const bool fails = outcome % kFailsEvery == 0;
  requests::HandOverActions actions;
  requests::HandOverExecutor& executor = agent->core->Executor();
  if (chosen.stage == Run::Stage::kWaiting && fails) {
    executor.Refuse(chosen.id,
                    {requests::RequestOutcome::kNotRun, requests::RefusalReason::kQueueFull}, now_,
                    actions);
    chosen.stage = Run::Stage::kEnded;
  } else if (chosen.stage == Run::Stage::kWaiting) {
    chosen.stage = Run::Stage::kRunning;
    oracle_.OnExecuted(chosen.request);
  } else if (chosen.stage == Run::Stage::kRunning && fails) {
    executor.Refuse(
        chosen.id,
        {requests::RequestOutcome::kOutcomeUnknown, requests::RefusalReason::kEndpointFailed}, now_,
        actions);
    chosen.stage = Run::Stage::kEnded;
  } else if (chosen.stage == Run::Stage::kRunning) {
    requests::proto::HandOverAnswerHead head;
    head.set_status(200);
    chosen.stage = Run::Stage::kAnswering;
    executor.BeginAnswer(chosen.id, head, now_, actions);
  } else if (fails) {
    executor.AbortAnswer(chosen.id, now_, actions);
    chosen.stage = Run::Stage::kEnded;
  } else if (chosen.has_room) {
    const std::string part = oracle_.Of(chosen.request).answer.substr(chosen.answered, kPartBytes);
    chosen.answered += part.size();
    if (part.empty()) {
      executor.EndAnswer(chosen.id, now_, actions);
      chosen.stage = Run::Stage::kEnded;
    } else {
      chosen.has_room = executor.WriteAnswer(chosen.id, part, now_, actions);
    }
  }
  Apply(node, actions);
}

void HandOverSimulation::PauseBody(std::uint32_t run, bool is_paused) {
  if (runs_.empty()) {
    return;
  }
  const Run& chosen = runs_[run % runs_.size()];
  const base::NodeId node = chosen.agent;
  Agent* const agent = FindRunning(node);
  if (agent != nullptr && agent->incarnation == chosen.incarnation) {
    requests::HandOverActions actions;
    agent->core->Executor().SetBodyPaused(chosen.id, is_paused, actions);
    Apply(node, actions);
  }
}

// --- Messages, agents and time ---

// Returns false if the message stays in the socket of a frozen process.
bool HandOverSimulation::DeliverAt(std::size_t index) {
  const base::NodeId destination = messages_[index].outgoing.destination;
  Agent* const receiver = FindRunning(destination);
  if (receiver == nullptr && FindLive(destination) != nullptr) {
    return false;
  }
  const Message message = std::move(messages_[index]);
  messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(index));
  if (receiver != nullptr) {
    Apply(destination,
          receiver->core->OnMessage(message.sender, message.outgoing.message.hand_over(), now_));
  }
  return true;
}

void HandOverSimulation::DeliverMessage(std::uint32_t message) {
  if (!messages_.empty()) {
    DeliverAt(message % messages_.size());
  }
}

void HandOverSimulation::DeliverAll() {
  constexpr int kMaxDeliveries = 2'000;
  std::size_t index = 0;
  for (int delivery = 0; delivery < kMaxDeliveries && index < messages_.size(); ++delivery) {
    index += DeliverAt(index) ? 0 : 1;
  }
}

void HandOverSimulation::LoseMessage(std::uint32_t message) {
  if (!messages_.empty()) {
    messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(message % messages_.size()));
  }
}

void HandOverSimulation::HoldBackMessage(std::uint32_t message, bool keeps_original) {
  if (messages_.empty()) {
    return;
  }
  const std::size_t index = message % messages_.size();
  held_back_.push_back(messages_[index]);
  if (!keeps_original) {
    messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(index));
  }
}

void HandOverSimulation::DeliverHeldBack(std::uint32_t message) {
  if (held_back_.empty()) {
    return;
  }
  const auto chosen = held_back_.begin() + static_cast<std::ptrdiff_t>(message % held_back_.size());
  messages_.push_back(*chosen);
  held_back_.erase(chosen);
  DeliverAt(messages_.size() - 1);
}

void HandOverSimulation::Kill(std::uint32_t agent) {
  const base::NodeId node = NodeAt(agent);
  if (FindLive(node) == nullptr) {
    return;
  }
  for (std::uint64_t number = 0; number < oracle_.Size(); ++number) {
    if (IsCurrentOrigin(oracle_.Of(number), node)) {
      oracle_.OnAbandoned(number);  // the caller's connection is lost
    }
  }
  agents_.erase(node);
}

void HandOverSimulation::Restart(std::uint32_t agent) {
  if (FindLive(NodeAt(agent)) == nullptr) {
    StartIncarnation(NodeAt(agent));
    SetListed(agent, true);
    DeliverTable(agent);
  }
}

void HandOverSimulation::Freeze(std::uint32_t agent) {
  if (Agent* const target = FindLive(NodeAt(agent))) {
    target->is_frozen = true;
  }
}

void HandOverSimulation::Thaw(std::uint32_t agent) {
  if (Agent* const target = FindLive(NodeAt(agent))) {
    target->is_frozen = false;
  }
}

void HandOverSimulation::SetDraining(std::uint32_t agent, bool is_draining) {
  if (Agent* const target = FindLive(NodeAt(agent))) {
    target->is_draining = is_draining;
  }
}

void HandOverSimulation::SetBusy(std::uint32_t agent, bool is_busy) {
  if (Agent* const target = FindLive(NodeAt(agent))) {
    target->is_busy = is_busy;
  }
}

void HandOverSimulation::SetListed(std::uint32_t agent, bool is_listed) {
  const base::NodeId node = NodeAt(agent);
  auto table = std::make_shared<routing::BucketTable>(*table_);
  ++sequence_;
  table->version = {1, 0, sequence_};
  std::erase_if(table->agents, [&](const auto& entry) { return entry.node == node; });
  if (is_listed && FindLive(node) != nullptr) {
    table->agents.push_back({node, FindLive(node)->incarnation, {}, ""});
  }
  std::sort(table->agents.begin(), table->agents.end(),
            [](const auto& left, const auto& right) { return left.node < right.node; });
  table_ = table;
}

void HandOverSimulation::DeliverTable(std::uint32_t agent) {
  const base::NodeId node = NodeAt(agent);
  if (Agent* const receiver = FindRunning(node)) {
    Apply(node, receiver->core->SetTable(table_, now_));
  }
}

void HandOverSimulation::AdvanceTime(std::uint32_t step_ms) {
  now_ += milliseconds(step_ms);
  for (std::uint32_t number = 0; number < kAgents; ++number) {
    const base::NodeId node = NodeAt(number);
    if (Agent* const agent = FindRunning(node)) {
      const requests::LocalLoad load{kSlots, kSlots, !agent->is_draining};
      Apply(node, agent->core->OnTimer(load, now_));
    }
  }
  for (std::uint64_t number = 0; number < oracle_.Size(); ++number) {
    const OracleEntry& entry = oracle_.Of(number);
    const bool is_here =
        FindRunning(entry.origin) != nullptr && IsCurrentOrigin(entry, entry.origin);
    oracle_.Require(entry.has_ended || entry.has_head || !is_here || now_ < entry.deadline,
                    "a request was held past its deadline");
  }
}

void HandOverSimulation::RunNetworkFor(std::uint32_t step_ms) {
  constexpr std::uint32_t kStepMs = 100;
  for (std::uint32_t passed = 0; passed < step_ms; passed += kStepMs) {
    DeliverAll();
    AdvanceTime(kStepMs);
  }
}

void HandOverSimulation::CheckBounds() {
  constexpr std::size_t kMaxInFlight = 3;
  for (auto& [node, agent] : agents_) {
    oracle_.Require(agent.core->Origin().Size() <= limits_.origin_capacity &&
                        agent.core->Executor().Size() <= limits_.executor_capacity,
                    "a table exceeded its bound");
    for (std::uint32_t peer = 0; peer < kAgents; ++peer) {
      oracle_.Require(agent.core->Loads().InFlight(NodeAt(peer)) <= kMaxInFlight,
                      "too many hand-overs to one peer");
    }
  }
}

void HandOverSimulation::FinishAndCheck() {
  for (std::uint32_t number = 0; number < kAgents; ++number) {
    Thaw(number);
    SetBusy(number, false);
    SetDraining(number, false);
  }
  for (std::uint32_t number = 0; number < oracle_.Size(); ++number) {
    PauseAnswer(number, false);
  }
  FinishAllRequests();
  messages_.insert(messages_.end(), held_back_.begin(), held_back_.end());
  FinishAllRequests();
  for (std::uint64_t number = 0; number < oracle_.Size(); ++number) {
    oracle_.Require(oracle_.Of(number).has_ended, "a request never ended");
  }
  for (auto& [node, agent] : agents_) {
    const bool is_empty = agent.core->Origin().Size() == 0 && agent.core->Executor().Size() == 0;
    oracle_.Require(is_empty, "a table still holds an ended request");
  }
}

// Runs for longer than the deadline and two peer timeouts.
void HandOverSimulation::FinishAllRequests() {
  constexpr int kRounds = 600;
  for (int round = 0; round < kRounds && Violation().empty(); ++round) {
    DeliverAll();
    for (std::uint32_t run = 0; run < runs_.size(); ++run) {
      PauseBody(run, false);
      AdvanceRun(run, 1);
    }
    AdvanceTime(static_cast<std::uint32_t>(kTickPeriod / milliseconds(1)));
  }
}

}  // namespace gaugevalve::proofs
