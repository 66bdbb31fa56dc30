// Simulates hand-overs between two agents over links that are slower than the agents send.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <memory>

#include "gaugevalve/base/random_source.h"
#include "gaugevalve/requests/hand_over.h"

namespace gaugevalve::proofs {

// What is handed over, and how fast the links are.
struct CongestionScenario {
  std::size_t hand_overs = 32;
  std::size_t answer_frames = 64;  // body frames of each answer, of kMaxChunkBytes
  std::size_t body_frames = 0;     // body frames of each request
  // Messages that leave the queue of each direction per kCongestionStep.
  std::size_t messages_to_origin = 1;
  std::size_t messages_to_executor = 1;
  // Whether frames have a queue of their own, as in the transport. The queues take turns.
  bool has_frame_queue = true;
};

inline constexpr base::Duration kCongestionStep = std::chrono::milliseconds(10);

struct CongestionResult {
  std::size_t answered = 0;
  std::size_t lost = 0;             // ended without a whole answer
  std::size_t passed_frames = 0;    // frames that reached the other agent, repetitions included
  base::Duration longest_pause{0};  // between two parts of an answer at the origin
};

// Both agents live and send all the time. What finds the queue of its direction full is dropped.
class CongestionSimulation {
 public:
  CongestionSimulation(const CongestionScenario& scenario,
                       const requests::HandOverMechanisms& mechanisms);

  // Runs until all requests have ended, for ten minutes of simulated time at most.
  CongestionResult Run();

 private:
  using Queue = std::deque<requests::proto::HandOverMessage>;

  // One direction between the agents.
  struct Link {
    base::NodeId sender;
    std::size_t messages_per_step = 1;
    Queue control;
    Queue frames;
    bool is_frames_turn = false;
  };

  // A run at the executor. Its answer is written whenever there is room.
  struct Answer {
    requests::HandOverId run;
    std::size_t written = 0;
    bool has_begun = false;
    bool has_ended = false;
    bool has_room = true;
  };

  // A request body at the origin, written whenever there is room.
  struct Body {
    std::size_t written = 0;
    bool has_ended = false;
    bool has_room = true;
  };

  void OfferAll();
  void WriteBody(requests::RequestId id, Body& body);
  void WriteAnswer(Answer& answer);
  void Pass(Link& link);
  static Queue& NextQueue(Link& link);
  void Apply(base::NodeId node, const requests::HandOverActions& actions);
  void OnOriginEvent(const requests::OriginEvent& event);
  void OnExecutorEvent(const requests::ExecutorEvent& event);

  CongestionScenario scenario_;
  base::RandomSource random_{1};
  base::TimePoint now_;
  requests::HandOver origin_;
  requests::HandOver executor_;
  Link to_origin_;
  Link to_executor_;
  std::deque<Answer> answers_;
  std::map<requests::RequestId, Body> bodies_;
  std::map<requests::RequestId, base::TimePoint> progress_at_;
  CongestionResult result_;
};

}  // namespace gaugevalve::proofs
