// What an agent's hand-over core tells its shell after one event.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "gaugevalve/base/time.h"
#include "gaugevalve/requests/at_most_once.h"
#include "gaugevalve/requests/hand_over_id.h"
#include "gaugevalve/requests/request_outcome.h"
#include "gaugevalve/requests/requests.pb.h"

namespace gaugevalve::requests {

// There is room for more of the request's body.
struct BodyWritable {};

struct AnswerHeadReceived {
  proto::HandOverAnswerHead head;
};

struct AnswerBytesReceived {
  std::string bytes;
};

// The answer is whole. Nothing more comes of the request.
struct AnswerEnded {};

// The answer broke off after its head. Nothing more comes of the request.
struct AnswerAborted {};

// No answer comes. Nothing more comes of the request.
struct HandOverRefused {
  Refusal refusal;
};

// At the origin: what came of a request that was handed over.
struct OriginEvent {
  RequestId request;
  std::variant<BodyWritable, AnswerHeadReceived, AnswerBytesReceived, AnswerEnded, AnswerAborted,
               HandOverRefused>
      what;
};

// Another agent asks for this run. HandOverExecutor::Accept() or Refuse() must follow.
struct RunOffered {
  proto::HandOverRequestHead head;
  base::Duration time_left{0};
};

struct BodyBytesReceived {
  std::string bytes;
};

struct BodyEnded {};

// There is room for more of the answer.
struct AnswerWritable {};

// Nobody waits for the run any more: break it off. The core has forgotten it.
struct RunCancelled {};

// At the executor: what concerns a run for another agent.
struct ExecutorEvent {
  HandOverId run;
  std::variant<RunOffered, BodyBytesReceived, BodyEnded, AnswerWritable, RunCancelled> what;
};

// What is to be done after one event, each list in its order.
struct HandOverActions {
  std::vector<OutgoingMessage> send;
  std::vector<OriginEvent> origin;
  std::vector<ExecutorEvent> executor;
};

}  // namespace gaugevalve::requests
