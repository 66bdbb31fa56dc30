#include "gaugevalve/requests/hand_over_origin.h"

#include <algorithm>
#include <utility>

#include "gaugevalve/requests/hand_over_codec.h"

namespace gaugevalve::requests {
namespace {

constexpr base::Duration kRetryAfter{1'000'000};

// Appends an empty message of this hand-over to the executor.
proto::HandOverMessage* AddMessage(const HandOverId& id, HandOverActions& actions) {
  actions.send.push_back({id.executor, {}});
  proto::HandOverMessage* const message = actions.send.back().message.mutable_hand_over();
  EncodeHandOverId(id, message->mutable_id());
  return message;
}

void SendClose(const HandOverId& id, HandOverActions& actions) {
  AddMessage(id, actions)->set_close(true);
}

}  // namespace

HandOverOrigin::HandOverOrigin(base::NodeId self, base::Incarnation incarnation,
                               const HandOverLimits& limits, PeerLoads& loads,
                               const PeerLiveness& liveness, base::RandomSource& random)
    : self_(self),
      incarnation_(incarnation),
      limits_(limits),
      loads_(loads),
      liveness_(liveness),
      scheduler_(limits_),
      random_(random),
      retry_budget_(limits.retry_share, limits.retry_burst) {}

bool HandOverOrigin::Offer(const HandOverRequest& request, HandOverNeed need, base::TimePoint now,
                           HandOverActions& actions) {
  const bool is_full =
      exchanges_.size() >= limits_.origin_capacity && limits_.mechanisms.bound_in_flight;
  const bool exceeds_hop_limit = request.was_handed_over && limits_.mechanisms.bound_hops;
  if (is_full || exceeds_hop_limit || now >= request.deadline || !IsWellFormed(request.head)) {
    return false;
  }
  Exchange exchange{.request = request,
                    .need = need,
                    .id = {},
                    .tried_peers = {},
                    // The body is sent only after the executor has granted credit.
                    .body = FrameSender(0),
                    .answer = FrameReceiver(limits_.mechanisms.check_sequence)};
  if (!OfferTo(exchange, now, actions)) {
    return false;
  }
  retry_budget_.OnFirstAttempt();
  exchanges_.emplace(request.id, std::move(exchange));
  return true;
}

bool HandOverOrigin::OfferTo(Exchange& exchange, base::TimePoint now, HandOverActions& actions) {
  const auto peer = loads_.Choose(exchange.need, exchange.tried_peers, random_, now);
  if (!peer) {
    return false;
  }
  if (!exchange.tried_peers.empty()) {
    scheduler_.OnEnded(exchange.id.executor, exchange.id, exchange.body.InFlight());
  }
  exchange.id = {self_, incarnation_, next_number_, peer->node, peer->incarnation};
  ++next_number_;
  exchange.tried_peers.push_back(peer->node);
  exchange.body.Rewind();
  exchange.answer = FrameReceiver(limits_.mechanisms.check_sequence);
  exchange.is_accepted = false;
  exchange.has_sought_other_peer = false;
  exchange.offer_count = 0;
  exchange.offered_at = now;
  exchange.last_message_at = now;
  exchange.last_message = proto::HandOverMessage::BODY_NOT_SET;
  exchange.heartbeat_at = now + limits_.heartbeat_interval;
  by_number_[exchange.id.number] = exchange.request.id;
  loads_.OnHandOverBegun(peer->node);
  scheduler_.OnBegun(peer->node);
  SendOffer(exchange, now, actions);
  return true;
}

void HandOverOrigin::SendOffer(Exchange& exchange, base::TimePoint now, HandOverActions& actions) {
  exchange.offer_at = now + scheduler_.Timer(exchange.id.executor).Interval(exchange.offer_count);
  ++exchange.offer_count;
  proto::HandOverOffer* const offer = AddMessage(exchange.id, actions)->mutable_offer();
  *offer->mutable_head() = exchange.request.head;
  const base::Duration time_left = exchange.request.deadline - now;
  offer->set_time_left_microseconds(
      static_cast<std::uint64_t>(std::max<std::int64_t>(time_left.count(), 0)));
  offer->set_hops(1);
}

// The time that an answer to the only offer took is a round trip.
void HandOverOrigin::NoteAccepted(Exchange& exchange, base::TimePoint now) {
  if (!exchange.is_accepted && exchange.offer_count == 1) {
    scheduler_.Timer(exchange.id.executor).AddSample(now - exchange.offered_at);
  }
  exchange.is_accepted = true;
}

void HandOverOrigin::QueueBody(const Exchange& exchange) {
  if (exchange.body.CanSend()) {
    scheduler_.Enqueue(exchange.id.executor, exchange.id);
  }
}

// Sends body frames to the executor, of one hand-over after the other, while it may get more.
void HandOverOrigin::SendBodies(base::NodeId executor, base::TimePoint now,
                                HandOverActions& actions) {
  while (const auto id = scheduler_.TakeNext(executor)) {
    const auto number = by_number_.find(id->number);
    if (number == by_number_.end()) {
      continue;
    }
    Exchange& exchange = exchanges_.at(number->second);
    if (exchange.body.CanSend()) {
      *AddMessage(exchange.id, actions)->mutable_request_frame() =
          exchange.body.SendNext(scheduler_.Timer(executor), now);
      scheduler_.OnSent(executor);
    }
    QueueBody(exchange);
  }
}

void HandOverOrigin::SendAcknowledgement(Exchange& exchange, base::TimePoint now,
                                         HandOverActions& actions) const {
  exchange.heartbeat_at = now + limits_.heartbeat_interval;
  *AddMessage(exchange.id, actions)->mutable_answer_acknowledgement() =
      exchange.answer.Acknowledgement();
}

bool HandOverOrigin::WriteBody(RequestId id, std::string_view bytes, base::TimePoint now,
                               HandOverActions& actions) {
  const auto found = exchanges_.find(id);
  if (found == exchanges_.end()) {
    return true;
  }
  Exchange& exchange = found->second;
  exchange.body.PushBytes(bytes);
  QueueBody(exchange);
  SendBodies(exchange.id.executor, now, actions);
  exchange.waits_for_room = !exchange.body.HasRoom();
  return !exchange.waits_for_room;
}

void HandOverOrigin::FinishBody(RequestId id, base::TimePoint now, HandOverActions& actions) {
  const auto found = exchanges_.find(id);
  if (found != exchanges_.end()) {
    proto::HandOverFrame frame;
    frame.set_end(true);
    found->second.body.Push(std::move(frame));
    QueueBody(found->second);
    SendBodies(found->second.id.executor, now, actions);
  }
}

void HandOverOrigin::SetAnswerPaused(RequestId id, bool is_paused, base::TimePoint now,
                                     HandOverActions& actions) {
  const auto found = exchanges_.find(id);
  if (found != exchanges_.end()) {
    found->second.answer.SetPaused(is_paused);
    SendAcknowledgement(found->second, now, actions);
  }
}

void HandOverOrigin::Cancel(RequestId id, HandOverActions& actions) { End(id, actions); }

HandOverOrigin::Exchange* HandOverOrigin::Find(base::NodeId sender, const HandOverId& id) {
  const auto number = by_number_.find(id.number);
  if (number == by_number_.end()) {
    return nullptr;
  }
  Exchange& exchange = exchanges_.at(number->second);
  const bool is_same = exchange.id == id && sender == id.executor;
  return is_same || !limits_.mechanisms.check_incarnation ? &exchange : nullptr;
}

void HandOverOrigin::OnMessage(base::NodeId sender, const proto::HandOverMessage& message,
                               base::TimePoint now, HandOverActions& actions) {
  const HandOverId id = DecodeHandOverId(message.id());
  if (id.origin != self_) {
    return;
  }
  Exchange* const exchange = Find(sender, id);
  if (exchange == nullptr) {
    // The hand-over has ended or belonged to a previous incarnation: the executor must stop it.
    if (!message.has_gone() && sender == id.executor) {
      SendClose(id, actions);
    }
    return;
  }
  if (message.has_gone()) {
    OnExecutorLost(*exchange, ExecutorLossCause::kRunUnknown, now, actions);
    SendBodies(sender, now, actions);
    return;
  }
  HandleMessage(*exchange, message, now, actions);
  SendBodies(sender, now, actions);  // the hand-over may have ended and left room for others
}

void HandOverOrigin::HandleMessage(Exchange& exchange, const proto::HandOverMessage& message,
                                   base::TimePoint now, HandOverActions& actions) {
  exchange.last_message_at = now;
  exchange.last_message = message.body_case();
  if (message.has_answer_frame()) {
    NoteAccepted(exchange, now);
    OnAnswerFrame(exchange, message.answer_frame(), now, actions);
  } else if (message.has_request_acknowledgement()) {
    NoteAccepted(exchange, now);
    RetransmissionTimer& timer = scheduler_.Timer(exchange.id.executor);
    scheduler_.OnReleased(exchange.id.executor, exchange.body.OnAcknowledgement(
                                                    message.request_acknowledgement(), timer, now));
    QueueBody(exchange);
    if (exchange.waits_for_room && exchange.body.HasRoom()) {
      exchange.waits_for_room = false;
      actions.origin.push_back({exchange.request.id, BodyWritable{}});
    }
  }
}

void HandOverOrigin::OnAnswerFrame(Exchange& exchange, const proto::HandOverFrame& frame,
                                   base::TimePoint now, HandOverActions& actions) {
  const RequestId request = exchange.request.id;
  const std::uint64_t number = exchange.id.number;
  if (exchange.answer.Accept(frame.sequence())) {
    HandleAnswerFrame(exchange, frame, now, actions);
  }
  const auto found = exchanges_.find(request);
  if (found != exchanges_.end() && found->second.id.number == number) {
    SendAcknowledgement(found->second, now, actions);
  }
}

void HandOverOrigin::HandleAnswerFrame(Exchange& exchange, const proto::HandOverFrame& frame,
                                       base::TimePoint now, HandOverActions& actions) {
  const RequestId id = exchange.request.id;
  const bool is_first = !exchange.has_answer_begun;
  if (frame.has_refusal() && is_first) {
    OnRefusal(exchange, DecodeRefusal(frame.refusal()), now, actions);
  } else if (frame.has_head() && is_first) {
    exchange.has_answer_begun = true;
    actions.origin.push_back({id, AnswerHeadReceived{frame.head()}});
  } else if (frame.has_bytes() && !is_first) {
    actions.origin.push_back({id, AnswerBytesReceived{frame.bytes()}});
  } else if (frame.has_end() && !is_first) {
    actions.origin.push_back({id, AnswerEnded{}});
    End(id, actions);
  } else {
    // The answer was aborted, or its frames are not in a valid order.
    OnExecutorLost(exchange, ExecutorLossCause::kInvalidAnswer, now, actions);
  }
}

// A request can be offered to another peer only if the refusal says "not run" and none of the body
// was consumed.
void HandOverOrigin::OnRefusal(Exchange& exchange, const Refusal& refusal, base::TimePoint now,
                               HandOverActions& actions) {
  const bool was_not_run = refusal.outcome == RequestOutcome::kNotRun;
  if (was_not_run) {
    loads_.OnRefused(exchange.id.executor);
  }
  if (was_not_run && OfferElsewhere(exchange, now, actions)) {
    return;
  }
  if (was_not_run && exchange.may_have_run) {
    RefuseAsLost(exchange.request.id, actions);
    return;
  }
  Refuse(exchange.request.id, refusal, actions);
}

// The executor is lost or does not know the outcome: the request may have run.
void HandOverOrigin::OnExecutorLost(Exchange& exchange, ExecutorLossCause cause,
                                    base::TimePoint now, HandOverActions& actions) {
  const RequestId id = exchange.request.id;
  actions.executor_losses.push_back(DescribeLoss(exchange, cause, now));
  if (exchange.has_answer_begun) {
    actions.origin.push_back({id, AnswerAborted{}});
    End(id, actions);
    return;
  }
  exchange.may_have_run = limits_.mechanisms.remember_loss;
  if (!RepeatElsewhere(exchange, now, actions)) {
    RefuseAsLost(id, actions);
  }
}

ExecutorLoss HandOverOrigin::DescribeLoss(const Exchange& exchange, ExecutorLossCause cause,
                                          base::TimePoint now) const {
  const AgentIncarnation executor{exchange.id.executor, exchange.id.executor_incarnation};
  ExecutorLoss loss{exchange.request.id,
                    exchange.id,
                    cause,
                    exchange.last_message,
                    liveness_.Silence(executor, exchange.last_message_at, now),
                    exchange.is_accepted,
                    liveness_.IsListedAsLive(executor),
                    liveness_.LastContact(executor)};
  loss.contact_age = loss.contact ? now - loss.contact->heard_at : base::Duration(0);
  return loss;
}

// Offers the request to another peer if it may be repeated.
bool HandOverOrigin::RepeatElsewhere(Exchange& exchange, base::TimePoint now,
                                     HandOverActions& actions) {
  return MayRepeat(exchange, now) && OfferElsewhere(exchange, now, actions);
}

// The peer is silent and may live. Its answer is awaited unless the request can be repeated.
void HandOverOrigin::OnExecutorSilent(Exchange& exchange, base::TimePoint now,
                                      HandOverActions& actions) {
  exchange.has_sought_other_peer = true;
  const ExecutorLoss loss = DescribeLoss(exchange, ExecutorLossCause::kSilent, now);
  if (!exchange.has_answer_begun && RepeatElsewhere(exchange, now, actions)) {
    exchange.may_have_run = limits_.mechanisms.remember_loss;
    actions.executor_losses.push_back(loss);
  }
}

void HandOverOrigin::RefuseAsLost(RequestId id, HandOverActions& actions) {
  const RequestOutcome outcome = limits_.mechanisms.silence_is_unknown
                                     ? RequestOutcome::kOutcomeUnknown
                                     : RequestOutcome::kNotRun;
  Refuse(id, {outcome, RefusalReason::kExecutorLost, kRetryAfter}, actions);
}

bool HandOverOrigin::MayRepeat(const Exchange& exchange, base::TimePoint now) {
  const bool is_safe = exchange.request.is_safe || !limits_.mechanisms.repeat_only_safe;
  return is_safe && now < exchange.request.deadline && exchange.body.HasNothingAcknowledged() &&
         exchange.tried_peers.size() < limits_.max_offers && retry_budget_.TakeRetry();
}

bool HandOverOrigin::OfferElsewhere(Exchange& exchange, base::TimePoint now,
                                    HandOverActions& actions) {
  const bool may_offer = exchange.tried_peers.size() < limits_.max_offers &&
                         exchange.body.HasNothingAcknowledged() && now < exchange.request.deadline;
  const HandOverId previous_id = exchange.id;
  if (!may_offer || !OfferTo(exchange, now, actions)) {
    return false;
  }
  by_number_.erase(previous_id.number);
  loads_.OnHandOverEnded(previous_id.executor);
  SendClose(previous_id, actions);
  return true;
}

void HandOverOrigin::Refuse(RequestId id, const Refusal& refusal, HandOverActions& actions) {
  actions.origin.push_back({id, HandOverRefused{refusal}});
  End(id, actions);
}

void HandOverOrigin::End(RequestId id, HandOverActions& actions) {
  const auto found = exchanges_.find(id);
  if (found == exchanges_.end()) {
    return;
  }
  SendClose(found->second.id, actions);
  by_number_.erase(found->second.id.number);
  loads_.OnHandOverEnded(found->second.id.executor);
  scheduler_.OnEnded(found->second.id.executor, found->second.id, found->second.body.InFlight());
  exchanges_.erase(found);
}

void HandOverOrigin::OnNewIncarnation(base::NodeId node, base::Incarnation incarnation,
                                      base::TimePoint now, HandOverActions& actions) {
  std::vector<RequestId> lost;
  for (const auto& [id, exchange] : exchanges_) {
    if (exchange.id.executor == node && exchange.id.executor_incarnation < incarnation) {
      lost.push_back(id);
    }
  }
  for (const RequestId id : lost) {
    OnExecutorLost(exchanges_.at(id), ExecutorLossCause::kNewIncarnation, now, actions);
  }
}

void HandOverOrigin::SkipPause(base::Duration pause, base::TimePoint now) {
  for (auto& [id, exchange] : exchanges_) {
    exchange.last_message_at = std::min(exchange.last_message_at + pause, now);
  }
}

// Returns whether the agent that runs the request has sent nothing for the peer time-out.
bool HandOverOrigin::IsExecutorSilent(const Exchange& exchange, base::TimePoint now) const {
  const AgentIncarnation executor{exchange.id.executor, exchange.id.executor_incarnation};
  return liveness_.IsSilent(executor, exchange.last_message_at, now);
}

bool HandOverOrigin::IsExecutorLost(const Exchange& exchange, base::TimePoint now) const {
  const AgentIncarnation executor{exchange.id.executor, exchange.id.executor_incarnation};
  return liveness_.IsLost(executor, exchange.last_message_at, now);
}

void HandOverOrigin::OnTimer(base::TimePoint now, HandOverActions& actions) {
  std::vector<RequestId> overdue;
  std::vector<RequestId> lost;
  std::vector<RequestId> silent;
  std::size_t heartbeats_left = limits_.heartbeats_per_tick;
  for (auto& [id, exchange] : exchanges_) {
    if (!exchange.has_answer_begun && now >= exchange.request.deadline) {
      overdue.push_back(id);
      continue;
    }
    if (IsExecutorLost(exchange, now)) {
      lost.push_back(id);
      continue;
    }
    if (IsExecutorSilent(exchange, now) && !exchange.has_sought_other_peer) {
      silent.push_back(id);
    }
    if (!exchange.is_accepted && now >= exchange.offer_at) {
      SendOffer(exchange, now, actions);
    }
    if (exchange.body.IsOverdue(now)) {
      RetransmissionTimer& timer = scheduler_.Timer(exchange.id.executor);
      scheduler_.OnReleased(exchange.id.executor, exchange.body.RestartAfterLoss(timer, now));
    }
    QueueBody(exchange);
    if (now >= exchange.heartbeat_at && heartbeats_left > 0) {
      --heartbeats_left;
      SendAcknowledgement(exchange, now, actions);
    }
  }
  for (const RequestId id : overdue) {
    Refuse(id,
           {RequestOutcome::kOutcomeUnknown, RefusalReason::kDeadlineAfterStart, base::Duration(0)},
           actions);
  }
  for (const RequestId id : lost) {
    OnExecutorLost(exchanges_.at(id), ExecutorLossCause::kSilent, now, actions);
  }
  for (const RequestId id : silent) {
    OnExecutorSilent(exchanges_.at(id), now, actions);
  }
  for (const auto& [id, exchange] : exchanges_) {
    SendBodies(exchange.id.executor, now, actions);
  }
}

}  // namespace gaugevalve::requests
