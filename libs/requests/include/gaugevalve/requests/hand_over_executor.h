// Executor side of hand-over: runs requests of other agents at this agent's endpoint.
#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "gaugevalve/requests/frame_receiver.h"
#include "gaugevalve/requests/frame_scheduler.h"
#include "gaugevalve/requests/frame_sender.h"
#include "gaugevalve/requests/hand_over_actions.h"
#include "gaugevalve/requests/hand_over_limits.h"
#include "gaugevalve/requests/offer_deduplicator.h"
#include "gaugevalve/requests/peer_liveness.h"

namespace gaugevalve::requests {

// Runs requests for other agents. Each offer results in at most one RunOffered: OfferDeduplicator
// detects a repeated offer of a run that has ended, and an offer to a previous incarnation of this
// agent is ignored. The messages of a run are retransmitted until its origin closes it, is lost
// (PeerLiveness) or is replaced by a newer incarnation.
//
// A run whose deadline passes before its answer begins is cancelled. A run that is cancelled before
// its end leaves the origin without an answer ("outcome unknown" there). When the table is full, an
// offer is refused and recorded as refused. Not thread-safe.
class HandOverExecutor {
 public:
  // `liveness` must outlive this. The owner records messages in it.
  HandOverExecutor(base::NodeId self, base::Incarnation incarnation, const HandOverLimits& limits,
                   const PeerLiveness& liveness);

  // The caller has admitted the run: the origin may send its body.
  void Accept(const HandOverId& run, HandOverActions& actions);

  // Ends the run without an answer. An outcome of kNotRun asserts that no byte of the request
  // reached the endpoint; once an answer has begun, the answer is aborted instead.
  void Refuse(const HandOverId& run, const Refusal& refusal, base::TimePoint now,
              HandOverActions& actions);

  // Send the answer, in this order: head, bytes, then end or abort. WriteAnswer() returns false if
  // the caller should not write more until AnswerWritable.
  void BeginAnswer(const HandOverId& run, const proto::HandOverAnswerHead& head,
                   base::TimePoint now, HandOverActions& actions);
  bool WriteAnswer(const HandOverId& run, std::string_view bytes, base::TimePoint now,
                   HandOverActions& actions);
  void EndAnswer(const HandOverId& run, base::TimePoint now, HandOverActions& actions);
  void AbortAnswer(const HandOverId& run, base::TimePoint now, HandOverActions& actions);

  // Pauses or resumes the request body. Bytes within the credit granted so far may still arrive.
  void SetBodyPaused(const HandOverId& run, bool is_paused, HandOverActions& actions);

  // Handles a well-formed message of a hand-over to this node.
  void OnMessage(base::NodeId sender, const proto::HandOverMessage& message, base::TimePoint now,
                 HandOverActions& actions);

  // The table lists this incarnation of an agent: runs offered by older ones are ended.
  void OnNewIncarnation(base::NodeId node, base::Incarnation incarnation, HandOverActions& actions);

  void OnTimer(base::TimePoint now, HandOverActions& actions);

  /// This process stood still for `pause`: origins were not silent meanwhile.
  void SkipPause(base::Duration pause, base::TimePoint now);

  std::size_t Size() const { return runs_.size(); }

 private:
  struct Run {
    FrameReceiver body;
    FrameSender answer;
    base::TimePoint deadline{};
    bool is_accepted = false;
    bool has_answer_begun = false;
    bool has_whole_body = false;
    bool has_ended = false;    // the complete answer is in `answer`
    bool was_refused = false;  // refused as not run
    bool waits_for_room = false;
    base::TimePoint last_message_at{};
    base::TimePoint heartbeat_at{};
  };

  Run* Find(const HandOverId& id);
  HandOverId KeyOf(const HandOverId& id) const;
  void OnOffer(const HandOverId& id, const proto::HandOverOffer& offer, base::TimePoint now,
               HandOverActions& actions);
  void OnUnknown(const HandOverId& id, const proto::HandOverMessage& message, base::TimePoint now,
                 HandOverActions& actions);
  void HandleMessage(const HandOverId& id, Run& run, const proto::HandOverMessage& message,
                     base::TimePoint now, HandOverActions& actions);
  static void HandleBodyFrame(const HandOverId& id, Run& run, const proto::HandOverFrame& frame,
                              HandOverActions& actions);
  void QueueAnswer(const HandOverId& id, const Run& run);
  void SendAnswers(base::NodeId origin, base::TimePoint now, HandOverActions& actions);
  void SendAcknowledgement(const HandOverId& id, const Run& run, HandOverActions& actions) const;
  void Finish(const HandOverId& id, Run& run, proto::HandOverFrame last, base::TimePoint now,
              HandOverActions& actions);
  void Forget(const HandOverId& id, HandOverActions& actions);

  base::NodeId self_;
  base::Incarnation incarnation_;
  HandOverLimits limits_;
  const PeerLiveness& liveness_;
  FrameScheduler scheduler_;  // of answers
  OfferDeduplicator deduplicator_;
  absl::flat_hash_map<HandOverId, Run> runs_;
};

}  // namespace gaugevalve::requests
