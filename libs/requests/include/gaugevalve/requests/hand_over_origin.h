// Origin side of hand-over: hands over requests of connections that this agent terminates.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "gaugevalve/base/random_source.h"
#include "gaugevalve/requests/frame_receiver.h"
#include "gaugevalve/requests/frame_scheduler.h"
#include "gaugevalve/requests/frame_sender.h"
#include "gaugevalve/requests/hand_over_actions.h"
#include "gaugevalve/requests/hand_over_limits.h"
#include "gaugevalve/requests/peer_liveness.h"
#include "gaugevalve/requests/peer_loads.h"
#include "gaugevalve/requests/retry_budget.h"

namespace gaugevalve::requests {

// A request to run at another agent's endpoint.
struct HandOverRequest {
  RequestId id;
  proto::HandOverRequestHead head;
  base::TimePoint deadline;
  bool is_safe = false;  // a safe method (RFC 9110): may be repeated after a peer was lost
  bool was_handed_over = false;
};

// Requests handed over by this agent. Each accepted one ends with exactly one of AnswerEnded,
// AnswerAborted and HandOverRefused, or with Cancel().
//
// "Not run" is reported only if the peer reported it, before any byte reached its endpoint, and no
// other peer accepts the request. If a peer is lost (PeerLiveness), restarts or no longer knows the
// request, the outcome is unknown; only a safe request of which no part was consumed is then
// offered again, within the retry budget. Such a request is offered elsewhere as soon as the peer
// is silent, lost or not. The deadline ends a request whose answer has not begun, as it does at the
// agent's own endpoint. An answer that has begun is aborted if the peer is lost.
//
// Bounded by HandOverLimits: when full, no request is accepted. Not thread-safe.
class HandOverOrigin {
 public:
  // `loads`, `liveness` and `random` must outlive this. The owner records messages in `liveness`.
  HandOverOrigin(base::NodeId self, base::Incarnation incarnation, const HandOverLimits& limits,
                 PeerLoads& loads, const PeerLiveness& liveness, base::RandomSource& random);

  // Offers the request to a peer. Returns false, with no effect, if no peer is suitable, the table
  // is full, or the request was already handed over.
  bool Offer(const HandOverRequest& request, HandOverNeed need, base::TimePoint now,
             HandOverActions& actions);

  // Sends a part of the request body. Returns false if the caller should not write more until
  // BodyWritable.
  bool WriteBody(RequestId id, std::string_view bytes, base::TimePoint now,
                 HandOverActions& actions);
  void FinishBody(RequestId id, base::TimePoint now, HandOverActions& actions);

  // Pauses or resumes the answer. Bytes within the credit granted so far may still arrive.
  void SetAnswerPaused(RequestId id, bool is_paused, base::TimePoint now, HandOverActions& actions);

  // Ends the hand-over of a request that its caller cancelled.
  void Cancel(RequestId id, HandOverActions& actions);

  // Handles a well-formed message of a hand-over from this node.
  void OnMessage(base::NodeId sender, const proto::HandOverMessage& message, base::TimePoint now,
                 HandOverActions& actions);

  // The table lists another incarnation of a peer: hand-overs to the previous one are lost.
  void OnNewIncarnation(base::NodeId node, base::Incarnation incarnation, base::TimePoint now,
                        HandOverActions& actions);

  void OnTimer(base::TimePoint now, HandOverActions& actions);

  /// This process stood still for `pause`: peers were not silent meanwhile.
  void SkipPause(base::Duration pause, base::TimePoint now);

  std::size_t Size() const { return exchanges_.size(); }
  bool Contains(RequestId id) const { return exchanges_.contains(id); }

 private:
  struct Exchange {
    HandOverRequest request;
    HandOverNeed need = HandOverNeed::kCannotRunHere;
    HandOverId id;
    std::vector<base::NodeId> tried_peers;
    FrameSender body;
    FrameReceiver answer;
    bool may_have_run = false;  // at a peer that was lost before the request was offered again
    bool is_accepted = false;
    bool has_answer_begun = false;
    bool waits_for_room = false;
    bool has_sought_other_peer = false;  // for the silence of the present one
    base::TimePoint last_message_at{};
    proto::HandOverMessage::BodyCase last_message = proto::HandOverMessage::BODY_NOT_SET;
    base::TimePoint offered_at{};  // time of the first offer to this peer
    base::TimePoint offer_at{};    // time of the next offer, until it is accepted
    unsigned offer_count = 0;      // offers sent to this peer
    base::TimePoint heartbeat_at{};
  };

  Exchange* Find(base::NodeId sender, const HandOverId& id);
  bool OfferTo(Exchange& exchange, base::TimePoint now, HandOverActions& actions);
  void SendOffer(Exchange& exchange, base::TimePoint now, HandOverActions& actions);
  void NoteAccepted(Exchange& exchange, base::TimePoint now);
  void QueueBody(const Exchange& exchange);
  void SendBodies(base::NodeId executor, base::TimePoint now, HandOverActions& actions);
  void SendAcknowledgement(Exchange& exchange, base::TimePoint now, HandOverActions& actions) const;
  void HandleMessage(Exchange& exchange, const proto::HandOverMessage& message, base::TimePoint now,
                     HandOverActions& actions);
  bool IsExecutorSilent(const Exchange& exchange, base::TimePoint now) const;
  bool IsExecutorLost(const Exchange& exchange, base::TimePoint now) const;
  void OnAnswerFrame(Exchange& exchange, const proto::HandOverFrame& frame, base::TimePoint now,
                     HandOverActions& actions);
  void HandleAnswerFrame(Exchange& exchange, const proto::HandOverFrame& frame, base::TimePoint now,
                         HandOverActions& actions);
  void OnRefusal(Exchange& exchange, const Refusal& refusal, base::TimePoint now,
                 HandOverActions& actions);
  void OnExecutorLost(Exchange& exchange, ExecutorLossCause cause, base::TimePoint now,
                      HandOverActions& actions);
  void OnExecutorSilent(Exchange& exchange, base::TimePoint now, HandOverActions& actions);
  ExecutorLoss DescribeLoss(const Exchange& exchange, ExecutorLossCause cause,
                            base::TimePoint now) const;
  bool RepeatElsewhere(Exchange& exchange, base::TimePoint now, HandOverActions& actions);
  bool MayRepeat(const Exchange& exchange, base::TimePoint now);
  bool OfferElsewhere(Exchange& exchange, base::TimePoint now, HandOverActions& actions);
  void RefuseAsLost(RequestId id, HandOverActions& actions);
  void Refuse(RequestId id, const Refusal& refusal, HandOverActions& actions);
  void End(RequestId id, HandOverActions& actions);

  base::NodeId self_;
  base::Incarnation incarnation_;
  HandOverLimits limits_;
  PeerLoads& loads_;
  const PeerLiveness& liveness_;
  FrameScheduler scheduler_;  // of request bodies
  base::RandomSource& random_;
  RetryBudget retry_budget_;
  absl::flat_hash_map<RequestId, Exchange> exchanges_;
  absl::flat_hash_map<std::uint64_t, RequestId> by_number_;
  std::uint64_t next_number_ = 1;
};

}  // namespace gaugevalve::requests
