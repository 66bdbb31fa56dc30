#include "hand_over_world.h"

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
constexpr base::Duration kTick = milliseconds(20);
constexpr std::size_t kSizes[] = {0, 10, requests::kMaxChunkBytes + 5,
                                  requests::kMaxChunkBytes*(requests::kWindowFrames + 2)};
constexpr std::size_t kPart = 3 * requests::kMaxChunkBytes / 2;  // of an answer, written at once

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

HandOverWorld::HandOverWorld(const requests::HandOverMechanisms& mechanisms,
                             std::size_t remembered_origins)
    : limits_(SmallLimits(mechanisms, remembered_origins)), now_(seconds(10'000)) {
  table_ = std::make_shared<routing::BucketTable>();
  for (std::uint32_t number = 0; number < kAgents; ++number) {
    StartLife(NodeAt(number));
    SetListed(number, true);
  }
  for (std::uint32_t number = 0; number < kAgents; ++number) {
    GiveTable(number);
  }
  PassTime(1);
  DeliverAll();
}

void HandOverWorld::StartLife(base::NodeId node) {
  Agent agent;
  agent.incarnation = base::Incarnation(next_incarnation_);
  agent.random = std::make_unique<base::RandomSource>(next_incarnation_);
  ++next_incarnation_;
  agent.core =
      std::make_unique<requests::HandOver>(node, agent.incarnation, limits_, *agent.random);
  agents_[node] = std::move(agent);
}

base::NodeId HandOverWorld::NodeAt(std::uint32_t number) const {
  return base::NodeId(number % kAgents + 1);
}

HandOverWorld::Agent* HandOverWorld::Live(base::NodeId node) {
  const auto found = agents_.find(node);
  return found == agents_.end() ? nullptr : &found->second;
}

HandOverWorld::Agent* HandOverWorld::Active(base::NodeId node) {
  Agent* const agent = Live(node);
  return agent == nullptr || agent->is_frozen ? nullptr : agent;
}

bool HandOverWorld::IsAt(const LedgerEntry& entry, base::NodeId node) {
  const Agent* const agent = Live(node);
  return agent != nullptr && entry.origin == node && entry.origin_incarnation == agent->incarnation;
}

// --- Callers and origins ---

void HandOverWorld::Request(std::uint32_t agent, std::uint32_t what) {
  const base::NodeId node = NodeAt(agent);
  Agent* const origin = Active(node);
  if (origin == nullptr) {
    return;
  }
  constexpr std::uint32_t kSafeEvery = 2;
  const std::uint64_t number =
      ledger_.Add(what % kSafeEvery == 0, kSizes[what / 2 % std::size(kSizes)],
                  kSizes[what / 8 % std::size(kSizes)]);
  LedgerEntry& entry = ledger_.Of(number);
  entry.deadline = now_ + kTimeout;
  entry.origin = node;
  entry.origin_incarnation = origin->incarnation;
  if (!OfferFrom(node, number, false)) {
    ledger_.Refused(number, requests::RequestOutcome::kNotRun);
  }
}

bool HandOverWorld::OfferFrom(base::NodeId node, std::uint64_t request, bool was_handed_over) {
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
  offered.deadline = ledger_.Of(request).deadline;
  offered.is_safe = ledger_.Of(request).is_safe;
  offered.was_handed_over = was_handed_over;
  requests::HandOverActions actions;
  if (!Live(node)->core->Origin().Offer(offered, *need, now_, actions)) {
    return false;
  }
  ledger_.Moved(request);
  Take(node, actions);
  GiveBody(node, request);
  return true;
}

// Gives the body in parts, as far as there is room.
void HandOverWorld::GiveBody(base::NodeId node, std::uint64_t request) {
  LedgerEntry& entry = ledger_.Of(request);
  Agent* const agent = Live(node);
  requests::HandOverActions actions;
  bool has_room = !entry.has_ended && IsAt(entry, node) && entry.body_given <= entry.body.size();
  while (has_room && entry.body_given < entry.body.size()) {
    const std::string part = entry.body.substr(entry.body_given, kPart);
    entry.body_given += part.size();
    has_room = agent->core->Origin().WriteBody(IdOf(request), part, now_, actions);
  }
  if (has_room) {
    agent->core->Origin().FinishBody(IdOf(request), now_, actions);
    ++entry.body_given;  // beyond the size: the end is given too
  }
  Take(node, actions);
}

void HandOverWorld::CancelRequest(std::uint32_t request) {
  if (ledger_.Size() == 0) {
    return;
  }
  const std::uint64_t number = request % ledger_.Size();
  LedgerEntry& entry = ledger_.Of(number);
  Agent* const agent = Active(entry.origin);
  if (entry.has_ended || agent == nullptr || !IsAt(entry, entry.origin)) {
    return;
  }
  ledger_.GivenUp(number);
  requests::HandOverActions actions;
  agent->core->Origin().Cancel(IdOf(number), actions);
  Take(entry.origin, actions);
}

void HandOverWorld::PauseAnswer(std::uint32_t request, bool is_paused) {
  if (ledger_.Size() == 0) {
    return;
  }
  const std::uint64_t number = request % ledger_.Size();
  const base::NodeId node = ledger_.Of(number).origin;
  if (Agent* const agent = Active(node)) {
    requests::HandOverActions actions;
    agent->core->Origin().SetAnswerPaused(IdOf(number), is_paused, actions);
    Take(node, actions);
  }
}

void HandOverWorld::Take(base::NodeId node, const requests::HandOverActions& actions) {
  constexpr std::size_t kMostMessages = 3'000;
  for (const requests::OutgoingMessage& outgoing : actions.send) {
    if (messages_.size() < kMostMessages) {
      messages_.push_back({node, outgoing});
    }
  }
  for (const requests::OriginEvent& event : actions.origin) {
    TakeOrigin(node, event);
  }
  for (const requests::ExecutorEvent& event : actions.executor) {
    TakeExecutor(node, event);
  }
  CheckBounds();
}

void HandOverWorld::TakeOrigin(base::NodeId node, const requests::OriginEvent& event) {
  const std::uint64_t number = NumberOf(event.request);
  if (!IsAt(ledger_.Of(number), node)) {
    return;  // handed on by an agent that isn't its caller's
  }
  if (const auto* const bytes = std::get_if<requests::AnswerBytesReceived>(&event.what)) {
    ledger_.Bytes(number, bytes->bytes);
  } else if (const auto* const refused = std::get_if<requests::HandOverRefused>(&event.what)) {
    ledger_.Refused(number, refused->refusal.outcome);
  } else if (std::holds_alternative<requests::AnswerHeadReceived>(event.what)) {
    ledger_.Head(number);
  } else if (std::holds_alternative<requests::AnswerEnded>(event.what)) {
    ledger_.Whole(number);
  } else if (std::holds_alternative<requests::AnswerAborted>(event.what)) {
    ledger_.Cut(number);
  } else {
    GiveBody(node, number);
  }
}

// --- Executors and their endpoints ---

HandOverWorld::Run* HandOverWorld::FindRun(base::NodeId node, const requests::HandOverId& id) {
  const Agent* const agent = Live(node);
  const auto found = std::find_if(runs_.begin(), runs_.end(), [&](const Run& run) {
    return run.agent == node && run.incarnation == agent->incarnation && run.id == id &&
           run.stage != Run::Stage::kOver;
  });
  return found == runs_.end() ? nullptr : &*found;
}

void HandOverWorld::TakeExecutor(base::NodeId node, const requests::ExecutorEvent& event) {
  if (const auto* const offer = std::get_if<requests::RunOffered>(&event.what)) {
    TakeOffer(node, event.run, *offer);
    return;
  }
  Run* const run = FindRun(node, event.run);
  if (run == nullptr) {
    return;
  }
  if (const auto* const bytes = std::get_if<requests::BodyBytesReceived>(&event.what)) {
    run->body += bytes->bytes;
    ledger_.EndpointReceived(run->request, run->body, false);
  } else if (std::holds_alternative<requests::BodyEnded>(event.what)) {
    ledger_.EndpointReceived(run->request, run->body, true);
  } else if (std::holds_alternative<requests::AnswerWritable>(event.what)) {
    run->has_room = true;
  } else {
    run->stage = Run::Stage::kOver;
  }
}

void HandOverWorld::TakeOffer(base::NodeId node, const requests::HandOverId& id,
                              const requests::RunOffered& offer) {
  Agent& agent = *Live(node);
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
  Take(node, actions);
}

void HandOverWorld::AdvanceRun(std::uint32_t run, std::uint32_t how) {
  std::erase_if(runs_, [](const Run& old) { return old.stage == Run::Stage::kOver; });
  if (runs_.empty()) {
    return;
  }
  Run& chosen = runs_[run % runs_.size()];
  Agent* const agent = Active(chosen.agent);
  if (agent == nullptr || agent->incarnation != chosen.incarnation) {
    return;
  }
  const base::NodeId node = chosen.agent;
  constexpr std::uint32_t kFailsEvery = 8;
  const bool fails = how % kFailsEvery == 0;
  requests::HandOverActions actions;
  requests::HandOverExecutor& executor = agent->core->Executor();
  if (chosen.stage == Run::Stage::kWaiting && fails) {
    executor.Refuse(chosen.id,
                    {requests::RequestOutcome::kNotRun, requests::RefusalReason::kQueueFull}, now_,
                    actions);
    chosen.stage = Run::Stage::kOver;
  } else if (chosen.stage == Run::Stage::kWaiting) {
    chosen.stage = Run::Stage::kRunning;
    ledger_.Executed(chosen.request);
  } else if (chosen.stage == Run::Stage::kRunning && fails) {
    executor.Refuse(
        chosen.id,
        {requests::RequestOutcome::kOutcomeUnknown, requests::RefusalReason::kEndpointFailed}, now_,
        actions);
    chosen.stage = Run::Stage::kOver;
  } else if (chosen.stage == Run::Stage::kRunning) {
    requests::proto::HandOverAnswerHead head;
    head.set_status(200);
    chosen.stage = Run::Stage::kAnswering;
    executor.BeginAnswer(chosen.id, head, now_, actions);
  } else if (fails) {
    executor.AbortAnswer(chosen.id, now_, actions);
    chosen.stage = Run::Stage::kOver;
  } else if (chosen.has_room) {
    const std::string part = ledger_.Of(chosen.request).answer.substr(chosen.answered, kPart);
    chosen.answered += part.size();
    if (part.empty()) {
      executor.EndAnswer(chosen.id, now_, actions);
      chosen.stage = Run::Stage::kOver;
    } else {
      chosen.has_room = executor.WriteAnswer(chosen.id, part, now_, actions);
    }
  }
  Take(node, actions);
}

void HandOverWorld::PauseBody(std::uint32_t run, bool is_paused) {
  if (runs_.empty()) {
    return;
  }
  const Run& chosen = runs_[run % runs_.size()];
  const base::NodeId node = chosen.agent;
  Agent* const agent = Active(node);
  if (agent != nullptr && agent->incarnation == chosen.incarnation) {
    requests::HandOverActions actions;
    agent->core->Executor().SetBodyPaused(chosen.id, is_paused, actions);
    Take(node, actions);
  }
}

// --- Messages, lives and time ---

// Returns false when the message stays: it waits in a frozen process's socket.
bool HandOverWorld::DeliverAt(std::size_t index) {
  const base::NodeId destination = messages_[index].outgoing.destination;
  Agent* const receiver = Active(destination);
  if (receiver == nullptr && Live(destination) != nullptr) {
    return false;
  }
  const Message message = std::move(messages_[index]);
  messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(index));
  if (receiver != nullptr) {
    Take(destination,
         receiver->core->OnMessage(message.sender, message.outgoing.message.hand_over(), now_));
  }
  return true;
}

void HandOverWorld::DeliverMessage(std::uint32_t message) {
  if (!messages_.empty()) {
    DeliverAt(message % messages_.size());
  }
}

void HandOverWorld::DeliverAll() {
  constexpr int kMostDeliveries = 2'000;
  std::size_t index = 0;
  for (int delivery = 0; delivery < kMostDeliveries && index < messages_.size(); ++delivery) {
    index += DeliverAt(index) ? 0 : 1;
  }
}

void HandOverWorld::LoseMessage(std::uint32_t message) {
  if (!messages_.empty()) {
    messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(message % messages_.size()));
  }
}

void HandOverWorld::DelayMessage(std::uint32_t message, bool is_doubled) {
  if (messages_.empty()) {
    return;
  }
  const std::size_t index = message % messages_.size();
  late_.push_back(messages_[index]);
  if (!is_doubled) {
    messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(index));
  }
}

void HandOverWorld::DeliverLate(std::uint32_t message) {
  if (late_.empty()) {
    return;
  }
  const auto chosen = late_.begin() + static_cast<std::ptrdiff_t>(message % late_.size());
  messages_.push_back(*chosen);
  late_.erase(chosen);
  DeliverAt(messages_.size() - 1);
}

void HandOverWorld::Kill(std::uint32_t agent) {
  const base::NodeId node = NodeAt(agent);
  if (Live(node) == nullptr) {
    return;
  }
  for (std::uint64_t number = 0; number < ledger_.Size(); ++number) {
    if (IsAt(ledger_.Of(number), node)) {
      ledger_.GivenUp(number);  // its caller's connection is gone
    }
  }
  agents_.erase(node);
}

void HandOverWorld::Restart(std::uint32_t agent) {
  if (Live(NodeAt(agent)) == nullptr) {
    StartLife(NodeAt(agent));
    SetListed(agent, true);
    GiveTable(agent);
  }
}

void HandOverWorld::Freeze(std::uint32_t agent) {
  if (Agent* const target = Live(NodeAt(agent))) {
    target->is_frozen = true;
  }
}

void HandOverWorld::Wake(std::uint32_t agent) {
  if (Agent* const target = Live(NodeAt(agent))) {
    target->is_frozen = false;
  }
}

void HandOverWorld::SetDraining(std::uint32_t agent, bool is_draining) {
  if (Agent* const target = Live(NodeAt(agent))) {
    target->is_draining = is_draining;
  }
}

void HandOverWorld::SetBusy(std::uint32_t agent, bool is_busy) {
  if (Agent* const target = Live(NodeAt(agent))) {
    target->is_busy = is_busy;
  }
}

void HandOverWorld::SetListed(std::uint32_t agent, bool is_listed) {
  const base::NodeId node = NodeAt(agent);
  auto table = std::make_shared<routing::BucketTable>(*table_);
  ++sequence_;
  table->version = {1, 0, sequence_};
  std::erase_if(table->agents, [&](const auto& entry) { return entry.node == node; });
  if (is_listed && Live(node) != nullptr) {
    table->agents.push_back({node, Live(node)->incarnation, {}, ""});
  }
  std::sort(table->agents.begin(), table->agents.end(),
            [](const auto& left, const auto& right) { return left.node < right.node; });
  table_ = table;
}

void HandOverWorld::GiveTable(std::uint32_t agent) {
  const base::NodeId node = NodeAt(agent);
  if (Agent* const receiver = Active(node)) {
    Take(node, receiver->core->SetTable(table_, now_));
  }
}

void HandOverWorld::PassTime(std::uint32_t milliseconds_passed) {
  now_ += milliseconds(milliseconds_passed);
  for (std::uint32_t number = 0; number < kAgents; ++number) {
    const base::NodeId node = NodeAt(number);
    if (Agent* const agent = Active(node)) {
      const requests::LocalLoad load{kSlots, kSlots, !agent->is_draining};
      Take(node, agent->core->OnTimer(load, now_));
    }
  }
  for (std::uint64_t number = 0; number < ledger_.Size(); ++number) {
    const LedgerEntry& entry = ledger_.Of(number);
    const bool is_here = Active(entry.origin) != nullptr && IsAt(entry, entry.origin);
    ledger_.Require(entry.has_ended || entry.has_head || !is_here || now_ < entry.deadline,
                    "held past its deadline");
  }
}

void HandOverWorld::RunFor(std::uint32_t milliseconds_passed) {
  constexpr std::uint32_t kStep = 100;
  for (std::uint32_t passed = 0; passed < milliseconds_passed; passed += kStep) {
    DeliverAll();
    PassTime(kStep);
  }
}

void HandOverWorld::CheckBounds() {
  constexpr std::size_t kMostInFlight = 3;
  for (auto& [node, agent] : agents_) {
    ledger_.Require(agent.core->Origin().Size() <= limits_.origin_capacity &&
                        agent.core->Executor().Size() <= limits_.executor_capacity,
                    "a table grew beyond its bound");
    for (std::uint32_t peer = 0; peer < kAgents; ++peer) {
      ledger_.Require(agent.core->Loads().InFlight(NodeAt(peer)) <= kMostInFlight,
                      "too many hand-overs to one peer");
    }
  }
}

void HandOverWorld::Settle() {
  for (std::uint32_t number = 0; number < kAgents; ++number) {
    Wake(number);
    SetBusy(number, false);
    SetDraining(number, false);
  }
  for (std::uint32_t number = 0; number < ledger_.Size(); ++number) {
    PauseAnswer(number, false);
  }
  FinishAll();
  messages_.insert(messages_.end(), late_.begin(), late_.end());
  FinishAll();
  for (std::uint64_t number = 0; number < ledger_.Size(); ++number) {
    ledger_.Require(ledger_.Of(number).has_ended, "never ended");
  }
  for (auto& [node, agent] : agents_) {
    const bool is_empty = agent.core->Origin().Size() == 0 && agent.core->Executor().Size() == 0;
    ledger_.Require(is_empty, "a table keeps what has ended");
  }
}

// Beyond the deadline and two silences.
void HandOverWorld::FinishAll() {
  constexpr int kRounds = 600;
  for (int round = 0; round < kRounds && Broken().empty(); ++round) {
    DeliverAll();
    for (std::uint32_t run = 0; run < runs_.size(); ++run) {
      PauseBody(run, false);
      AdvanceRun(run, 1);
    }
    PassTime(static_cast<std::uint32_t>(kTick / milliseconds(1)));
  }
}

}  // namespace gaugevalve::proofs
