#include "gaugevalve/requests/hand_over_executor.h"

#include <algorithm>
#include <utility>

#include "gaugevalve/requests/hand_over_codec.h"

namespace gaugevalve::requests {
namespace {

constexpr Refusal kTableFullRefusal{RequestOutcome::kNotRun, RefusalReason::kQueueFull,
                                    base::Duration(1'000'000)};

// Appends an empty message of this hand-over to the origin.
proto::HandOverMessage* AddMessage(const HandOverId& id, HandOverActions& actions) {
  actions.send.push_back({id.origin, {}});
  proto::HandOverMessage* const message = actions.send.back().message.mutable_hand_over();
  EncodeHandOverId(id, message->mutable_id());
  return message;
}

proto::HandOverFrame RefusalFrame(const Refusal& refusal) {
  proto::HandOverFrame frame;
  *frame.mutable_refusal() = EncodeRefusal(refusal);
  return frame;
}

proto::HandOverFrame AbortFrame() {
  proto::HandOverFrame frame;
  frame.set_cut(true);
  return frame;
}

}  // namespace

HandOverExecutor::HandOverExecutor(base::NodeId self, base::Incarnation incarnation,
                                   const HandOverLimits& limits, const PeerLiveness& liveness)
    : self_(self),
      incarnation_(incarnation),
      limits_(limits),
      liveness_(liveness),
      scheduler_(limits_),
      deduplicator_(limits.remembered_per_origin, limits.remembered_origins) {}

// If incarnations are not checked, a hand-over is identified by its origin and number only.
HandOverId HandOverExecutor::KeyOf(const HandOverId& id) const {
  return limits_.mechanisms.check_incarnation
             ? id
             : HandOverId{id.origin, base::Incarnation(1), id.number, self_, base::Incarnation(1)};
}

HandOverExecutor::Run* HandOverExecutor::Find(const HandOverId& id) {
  const auto found = runs_.find(KeyOf(id));
  return found == runs_.end() ? nullptr : &found->second;
}

void HandOverExecutor::OnMessage(base::NodeId sender, const proto::HandOverMessage& message,
                                 base::TimePoint now, HandOverActions& actions) {
  const HandOverId id = DecodeHandOverId(message.id());
  const bool is_for_this_incarnation =
      id.executor_incarnation == incarnation_ || !limits_.mechanisms.check_incarnation;
  if (id.executor != self_ || id.origin != sender || !is_for_this_incarnation) {
    return;
  }
  Run* const run = Find(id);
  if (run == nullptr) {
    OnUnknown(id, message, now, actions);
  } else {
    run->last_message_at = now;
    HandleMessage(id, *run, message, now, actions);
    SendAnswers(sender, now, actions);  // the run may have ended and left room for others
  }
}

void HandOverExecutor::OnUnknown(const HandOverId& id, const proto::HandOverMessage& message,
                                 base::TimePoint now, HandOverActions& actions) {
  if (message.has_close()) {
    deduplicator_.RecordEnded(id, false);
    return;
  }
  const OfferHistory history =
      limits_.mechanisms.remember_ended ? deduplicator_.Find(id) : OfferHistory::kNew;
  switch (history) {
    case OfferHistory::kNew:
      if (message.has_offer()) {
        OnOffer(id, message.offer(), now, actions);
      }
      return;
    case OfferHistory::kRefused:
      *AddMessage(id, actions)->mutable_answer_frame() = RefusalFrame(kTableFullRefusal);
      return;
    case OfferHistory::kEnded:
      AddMessage(id, actions)->set_gone(true);
      return;
    case OfferHistory::kOldIncarnation:
      return;
  }
}

void HandOverExecutor::OnOffer(const HandOverId& id, const proto::HandOverOffer& offer,
                               base::TimePoint now, HandOverActions& actions) {
  OnNewIncarnation(id.origin, id.origin_incarnation, actions);
  if (runs_.size() >= limits_.executor_capacity) {
    if (limits_.mechanisms.remember_refused) {
      deduplicator_.RecordEnded(id, true);
    }
    *AddMessage(id, actions)->mutable_answer_frame() = RefusalFrame(kTableFullRefusal);
    return;
  }
  const base::Duration time_left(static_cast<std::int64_t>(offer.time_left_microseconds()));
  Run run{.body = FrameReceiver(limits_.mechanisms.check_sequence),
          .answer = FrameSender(kWindowFrames),
          .deadline = now + time_left,
          .last_message_at = now,
          .heartbeat_at = now + limits_.heartbeat_interval};
  runs_.emplace(KeyOf(id), std::move(run));
  scheduler_.OnBegun(id.origin);
  actions.executor.push_back({KeyOf(id), RunOffered{offer.head(), time_left}});
}

void HandOverExecutor::HandleMessage(const HandOverId& id, Run& run,
                                     const proto::HandOverMessage& message, base::TimePoint now,
                                     HandOverActions& actions) {
  if (message.has_close()) {
    Forget(KeyOf(id), actions);
  } else if (message.has_offer()) {
    if (run.is_accepted) {
      SendAcknowledgement(id, run, actions);
    }
  } else if (message.has_request_frame()) {
    if (run.body.Accept(message.request_frame().sequence())) {
      HandleBodyFrame(KeyOf(id), run, message.request_frame(), actions);
    }
    SendAcknowledgement(id, run, actions);
    run.heartbeat_at = now + limits_.heartbeat_interval;
  } else if (message.has_answer_acknowledgement()) {
    RetransmissionTimer& timer = scheduler_.Timer(id.origin);
    scheduler_.OnReleased(
        id.origin, run.answer.OnAcknowledgement(message.answer_acknowledgement(), timer, now));
    QueueAnswer(KeyOf(id), run);
    if (run.waits_for_room && run.answer.HasRoom()) {
      run.waits_for_room = false;
      actions.executor.push_back({KeyOf(id), AnswerWritable{}});
    }
  }
}

void HandOverExecutor::HandleBodyFrame(const HandOverId& id, Run& run,
                                       const proto::HandOverFrame& frame,
                                       HandOverActions& actions) {
  run.has_whole_body = run.has_whole_body || frame.has_end();
  if (run.has_ended) {
    return;  // the answer is complete; the rest of the body is not needed
  }
  if (frame.has_end()) {
    actions.executor.push_back({id, BodyEnded{}});
  } else {
    actions.executor.push_back({id, BodyBytesReceived{frame.bytes()}});
  }
}

void HandOverExecutor::QueueAnswer(const HandOverId& id, const Run& run) {
  if (run.answer.CanSend()) {
    scheduler_.Enqueue(id.origin, id);
  }
}

// Sends answer frames to the origin, of one run after the other, while it may get more.
void HandOverExecutor::SendAnswers(base::NodeId origin, base::TimePoint now,
                                   HandOverActions& actions) {
  while (const auto id = scheduler_.TakeNext(origin)) {
    const auto found = runs_.find(*id);
    if (found == runs_.end()) {
      continue;
    }
    Run& run = found->second;
    if (run.answer.CanSend()) {
      *AddMessage(*id, actions)->mutable_answer_frame() =
          run.answer.SendNext(scheduler_.Timer(origin), now);
      scheduler_.OnSent(origin);
      if (run.has_whole_body) {
        run.heartbeat_at = now + limits_.heartbeat_interval;  // there is no credit to announce
      }
    }
    QueueAnswer(*id, run);
  }
}

void HandOverExecutor::SendAcknowledgement(const HandOverId& id, const Run& run,
                                           HandOverActions& actions) const {
  *AddMessage(id, actions)->mutable_request_acknowledgement() = run.body.Acknowledgement();
}

void HandOverExecutor::Accept(const HandOverId& run, HandOverActions& actions) {
  Run* const found = Find(run);
  if (found != nullptr && !found->has_ended) {
    found->is_accepted = true;
    SendAcknowledgement(run, *found, actions);
  }
}

void HandOverExecutor::Refuse(const HandOverId& run, const Refusal& refusal, base::TimePoint now,
                              HandOverActions& actions) {
  Run* const found = Find(run);
  if (found == nullptr || found->has_ended) {
    return;
  }
  if (found->has_answer_begun) {
    Finish(run, *found, AbortFrame(), now, actions);
    return;
  }
  found->was_refused = refusal.outcome == RequestOutcome::kNotRun;
  Finish(run, *found, RefusalFrame(refusal), now, actions);
}

void HandOverExecutor::BeginAnswer(const HandOverId& run, const proto::HandOverAnswerHead& head,
                                   base::TimePoint now, HandOverActions& actions) {
  Run* const found = Find(run);
  if (found == nullptr || found->has_ended || found->has_answer_begun) {
    return;
  }
  if (!IsWellFormed(head)) {
    constexpr Refusal kMalformedHeadRefusal{RequestOutcome::kOutcomeUnknown,
                                            RefusalReason::kEndpointFailed, base::Duration(0)};
    Finish(run, *found, RefusalFrame(kMalformedHeadRefusal), now, actions);
    actions.executor.push_back({run, RunCancelled{}});
    return;
  }
  found->has_answer_begun = true;
  proto::HandOverFrame frame;
  *frame.mutable_head() = head;
  found->answer.Push(std::move(frame));
  QueueAnswer(run, *found);
  SendAnswers(run.origin, now, actions);
}

bool HandOverExecutor::WriteAnswer(const HandOverId& run, std::string_view bytes,
                                   base::TimePoint now, HandOverActions& actions) {
  Run* const found = Find(run);
  if (found == nullptr || found->has_ended) {
    return true;
  }
  found->answer.PushBytes(bytes);
  QueueAnswer(run, *found);
  SendAnswers(run.origin, now, actions);
  found->waits_for_room = !found->answer.HasRoom();
  return !found->waits_for_room;
}

void HandOverExecutor::EndAnswer(const HandOverId& run, base::TimePoint now,
                                 HandOverActions& actions) {
  Run* const found = Find(run);
  if (found != nullptr && !found->has_ended) {
    proto::HandOverFrame frame;
    frame.set_end(true);
    Finish(run, *found, std::move(frame), now, actions);
  }
}

void HandOverExecutor::AbortAnswer(const HandOverId& run, base::TimePoint now,
                                   HandOverActions& actions) {
  Run* const found = Find(run);
  if (found != nullptr && !found->has_ended) {
    Finish(run, *found, AbortFrame(), now, actions);
  }
}

void HandOverExecutor::Finish(const HandOverId& id, Run& run, proto::HandOverFrame last,
                              base::TimePoint now, HandOverActions& actions) {
  run.has_ended = true;
  run.answer.Push(std::move(last));
  QueueAnswer(id, run);
  SendAnswers(id.origin, now, actions);
}

void HandOverExecutor::SetBodyPaused(const HandOverId& run, bool is_paused,
                                     HandOverActions& actions) {
  Run* const found = Find(run);
  if (found != nullptr) {
    found->body.SetPaused(is_paused);
    SendAcknowledgement(run, *found, actions);
  }
}

void HandOverExecutor::Forget(const HandOverId& id, HandOverActions& actions) {
  const auto found = runs_.find(id);
  if (found == runs_.end()) {
    return;
  }
  if (!found->second.has_ended) {
    actions.executor.push_back({id, RunCancelled{}});
  }
  deduplicator_.RecordEnded(id, found->second.was_refused);
  scheduler_.OnEnded(id.origin, id, found->second.answer.InFlight());
  runs_.erase(found);
}

void HandOverExecutor::OnNewIncarnation(base::NodeId node, base::Incarnation incarnation,
                                        HandOverActions& actions) {
  std::vector<HandOverId> over;
  for (const auto& [id, run] : runs_) {
    if (id.origin == node && id.origin_incarnation < incarnation &&
        limits_.mechanisms.check_incarnation) {
      over.push_back(id);
    }
  }
  for (const HandOverId& id : over) {
    Forget(id, actions);
  }
  deduplicator_.NoteIncarnation(node, incarnation);
}

void HandOverExecutor::SkipPause(base::Duration pause, base::TimePoint now) {
  for (auto& [id, run] : runs_) {
    run.last_message_at = std::min(run.last_message_at + pause, now);
  }
}

void HandOverExecutor::OnTimer(base::TimePoint now, HandOverActions& actions) {
  std::vector<HandOverId> over;
  std::size_t heartbeats_left = limits_.heartbeats_per_tick;
  for (auto& [id, run] : runs_) {
    const AgentIncarnation origin{id.origin, id.origin_incarnation};
    if (liveness_.IsLost(origin, run.last_message_at, now)) {
      over.push_back(id);
      continue;
    }
    if (!run.has_answer_begun && !run.has_ended && now >= run.deadline) {
      constexpr Refusal kDeadlineRefusal{RequestOutcome::kOutcomeUnknown,
                                         RefusalReason::kDeadlineAfterStart, base::Duration(0)};
      actions.executor.push_back({id, RunCancelled{}});
      Finish(id, run, RefusalFrame(kDeadlineRefusal), now, actions);
    }
    if (run.answer.IsOverdue(now)) {
      RetransmissionTimer& timer = scheduler_.Timer(id.origin);
      scheduler_.OnReleased(id.origin, run.answer.RestartAfterLoss(timer, now));
    }
    QueueAnswer(id, run);
    if (now >= run.heartbeat_at && run.is_accepted && heartbeats_left > 0) {
      --heartbeats_left;
      run.heartbeat_at = now + limits_.heartbeat_interval;
      SendAcknowledgement(id, run, actions);
    }
  }
  for (const HandOverId& id : over) {
    Forget(id, actions);
  }
  for (const auto& [id, run] : runs_) {
    SendAnswers(id.origin, now, actions);
  }
}

}  // namespace gaugevalve::requests
