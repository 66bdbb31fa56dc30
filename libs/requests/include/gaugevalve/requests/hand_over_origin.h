// The part of the agent that ends the caller's connection in handing its requests over.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "gaugevalve/base/random_source.h"
#include "gaugevalve/requests/frame_receiver.h"
#include "gaugevalve/requests/frame_sender.h"
#include "gaugevalve/requests/hand_over_actions.h"
#include "gaugevalve/requests/hand_over_limits.h"
#include "gaugevalve/requests/peer_loads.h"
#include "gaugevalve/requests/retry_budget.h"

namespace gaugevalve::requests {

// A request that is to run at another agent's endpoint.
struct HandOverRequest {
  RequestId id;
  proto::HandOverRequestHead head;
  base::TimePoint deadline;
  bool is_safe = false;  // a safe method (RFC 9110): may be repeated after a silence
  bool was_handed_over = false;
};

// Requests handed over by this agent. Each taken one ends by exactly one of AnswerEnded,
// AnswerAborted and HandOverRefused, or by Cancel().
//
// "Not run" is only said when the peer said so, before a byte reached its endpoint, and no other
// peer takes the request; a peer that falls silent, starts anew or has forgotten the request leaves
// the outcome unknown, and only a safe request of which no part was consumed is then offered again,
// within the retry budget. The deadline ends a request whose answer has not begun, as it does at
// the agent's own endpoint; an answer that has begun ends with the peer's silence.
//
// Bounded by HandOverLimits: when full nothing is taken. Not thread-safe.
class HandOverOrigin {
 public:
  // `loads` and `random` must outlive this.
  HandOverOrigin(base::NodeId self, base::Incarnation incarnation, const HandOverLimits& limits,
                 PeerLoads& loads, base::RandomSource& random);

  // Offers the request to a peer. Returns false, having done nothing, when no peer will do, the
  // table is full, or the request was handed over before.
  bool Offer(const HandOverRequest& request, HandOverNeed need, base::TimePoint now,
             HandOverActions& actions);

  // Takes a part of the request's body. Returns false when it should be the last until
  // BodyWritable.
  bool WriteBody(RequestId id, std::string_view bytes, base::TimePoint now,
                 HandOverActions& actions);
  void FinishBody(RequestId id, base::TimePoint now, HandOverActions& actions);

  // Stops the answer, or lets it go on; what has credit still comes.
  void SetAnswerPaused(RequestId id, bool is_paused, HandOverActions& actions);

  // The caller gave the request up.
  void Cancel(RequestId id, HandOverActions& actions);

  // Takes a well-formed message that concerns a hand-over of this node's.
  void OnMessage(base::NodeId sender, const proto::HandOverMessage& message, base::TimePoint now,
                 HandOverActions& actions);

  // The table lists another life of a peer: what it held is lost.
  void OnNewLife(base::NodeId node, base::Incarnation incarnation, base::TimePoint now,
                 HandOverActions& actions);

  void OnTimer(base::TimePoint now, HandOverActions& actions);

  std::size_t Size() const { return exchanges_.size(); }
  bool Contains(RequestId id) const { return exchanges_.contains(id); }

 private:
  struct Exchange {
    HandOverRequest request;
    HandOverNeed need = HandOverNeed::kCannotRunHere;
    HandOverId id;
    std::vector<base::NodeId> tried;
    FrameSender body;
    FrameReceiver answer;
    bool may_have_run = false;  // at a peer that was lost, before it was offered again
    bool is_accepted = false;
    bool has_answer_begun = false;
    bool waits_for_room = false;
    base::TimePoint heard_at{};
    base::TimePoint offer_at{};  // when the offer is sent next, until it is accepted
    base::TimePoint heartbeat_at{};
  };

  FrameSender NewBody() const;
  Exchange* Find(base::NodeId sender, const HandOverId& id);
  bool OfferTo(Exchange& exchange, base::TimePoint now, HandOverActions& actions);
  void SendOffer(Exchange& exchange, base::TimePoint now, HandOverActions& actions) const;
  void SendBody(Exchange& exchange, base::TimePoint now, HandOverActions& actions) const;
  void SendAcknowledgement(const Exchange& exchange, HandOverActions& actions) const;
  void OnAnswerFrame(Exchange& exchange, const proto::HandOverFrame& frame, base::TimePoint now,
                     HandOverActions& actions);
  void TakeFrame(Exchange& exchange, const proto::HandOverFrame& frame, base::TimePoint now,
                 HandOverActions& actions);
  void OnRefusal(Exchange& exchange, const Refusal& refusal, base::TimePoint now,
                 HandOverActions& actions);
  void OnLost(Exchange& exchange, base::TimePoint now, HandOverActions& actions);
  bool MayRepeat(const Exchange& exchange, base::TimePoint now);
  bool OfferElsewhere(Exchange& exchange, base::TimePoint now, HandOverActions& actions);
  void RefuseAsLost(RequestId id, HandOverActions& actions);
  void Refuse(RequestId id, const Refusal& refusal, HandOverActions& actions);
  void End(RequestId id, HandOverActions& actions);

  base::NodeId self_;
  base::Incarnation incarnation_;
  HandOverLimits limits_;
  PeerLoads& loads_;
  base::RandomSource& random_;
  RetryBudget retry_budget_;
  absl::flat_hash_map<RequestId, Exchange> exchanges_;
  absl::flat_hash_map<std::uint64_t, RequestId> by_number_;
  std::uint64_t next_number_ = 1;
};

}  // namespace gaugevalve::requests
