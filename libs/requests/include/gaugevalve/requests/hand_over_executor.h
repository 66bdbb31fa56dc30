// The part of the agent whose endpoint runs another agent's request.
#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "gaugevalve/requests/frame_receiver.h"
#include "gaugevalve/requests/frame_sender.h"
#include "gaugevalve/requests/hand_over_actions.h"
#include "gaugevalve/requests/hand_over_limits.h"
#include "gaugevalve/requests/offer_memory.h"

namespace gaugevalve::requests {

// Runs for other agents. Each offer becomes at most one RunOffered: a repeat of one that ended is
// told from a new one by OfferMemory, and an offer to a former life of this agent is passed over.
// Until its origin has closed a run, or is silent or replaced, what is to be said of it is
// repeated.
//
// A run whose deadline passes before its answer begins is cancelled, one that is cancelled before
// its end leaves the origin without an answer ("outcome unknown" there). When the table is full, an
// offer is refused and remembered as refused. Not thread-safe.
class HandOverExecutor {
 public:
  HandOverExecutor(base::NodeId self, base::Incarnation incarnation, const HandOverLimits& limits);

  // The shell has admitted the run: its body may come.
  void Accept(const HandOverId& run, HandOverActions& actions);

  // No answer will come of the run. An outcome of kNotRun promises that no byte of it reached the
  // endpoint, and is sent as kOutcomeUnknown once an answer has begun.
  void Refuse(const HandOverId& run, const Refusal& refusal, base::TimePoint now,
              HandOverActions& actions);

  // The answer, in this order: head, bytes, then end or cut. WriteAnswer() returns false when it
  // should be the last until AnswerWritable.
  void BeginAnswer(const HandOverId& run, const proto::HandOverAnswerHead& head,
                   base::TimePoint now, HandOverActions& actions);
  bool WriteAnswer(const HandOverId& run, std::string_view bytes, base::TimePoint now,
                   HandOverActions& actions);
  void EndAnswer(const HandOverId& run, base::TimePoint now, HandOverActions& actions);
  void AbortAnswer(const HandOverId& run, base::TimePoint now, HandOverActions& actions);

  // Stops the request's body, or lets it go on; what has credit still comes.
  void SetBodyPaused(const HandOverId& run, bool is_paused, HandOverActions& actions);

  // Takes a well-formed message of a hand-over to this node.
  void OnMessage(base::NodeId sender, const proto::HandOverMessage& message, base::TimePoint now,
                 HandOverActions& actions);

  // The table lists this life of an agent: what a former one offered is over.
  void OnNewLife(base::NodeId node, base::Incarnation incarnation, HandOverActions& actions);

  void OnTimer(base::TimePoint now, HandOverActions& actions);

  std::size_t Size() const { return runs_.size(); }

 private:
  struct Run {
    FrameReceiver body;
    FrameSender answer;
    base::TimePoint deadline{};
    bool is_accepted = false;
    bool has_answer_begun = false;
    bool has_ended = false;    // all of the answer is in `answer`
    bool was_refused = false;  // as not run
    bool waits_for_room = false;
    base::TimePoint heard_at{};
    base::TimePoint heartbeat_at{};
  };

  Run* Find(const HandOverId& id);
  HandOverId KeyOf(const HandOverId& id) const;
  void OnOffer(const HandOverId& id, const proto::HandOverOffer& offer, base::TimePoint now,
               HandOverActions& actions);
  void OnUnknown(const HandOverId& id, const proto::HandOverMessage& message, base::TimePoint now,
                 HandOverActions& actions);
  void Take(const HandOverId& id, Run& run, const proto::HandOverMessage& message,
            base::TimePoint now, HandOverActions& actions);
  void TakeBody(const HandOverId& id, Run& run, const proto::HandOverFrame& frame,
                HandOverActions& actions) const;
  void SendAnswer(const HandOverId& id, Run& run, base::TimePoint now,
                  HandOverActions& actions) const;
  void SendAcknowledgement(const HandOverId& id, const Run& run, HandOverActions& actions) const;
  void Finish(const HandOverId& id, Run& run, proto::HandOverFrame last, base::TimePoint now,
              HandOverActions& actions);
  void Forget(const HandOverId& id, HandOverActions& actions);

  base::NodeId self_;
  base::Incarnation incarnation_;
  HandOverLimits limits_;
  OfferMemory memory_;
  absl::flat_hash_map<HandOverId, Run> runs_;
};

}  // namespace gaugevalve::requests
