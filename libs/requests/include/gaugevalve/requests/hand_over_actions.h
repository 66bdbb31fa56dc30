// The actions of the hand-over core of an agent after one event.
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

// The request body can be written again.
struct BodyWritable {};

struct AnswerHeadReceived {
  proto::HandOverAnswerHead head;
};

struct AnswerBytesReceived {
  std::string bytes;
};

// The answer is complete. This is the last event of the request.
struct AnswerEnded {};

// The answer was aborted after its head. This is the last event of the request.
struct AnswerAborted {};

// There is no answer. This is the last event of the request.
struct HandOverRefused {
  Refusal refusal;
};

// At the origin: an event of a request that was handed over.
struct OriginEvent {
  RequestId request;
  std::variant<BodyWritable, AnswerHeadReceived, AnswerBytesReceived, AnswerEnded, AnswerAborted,
               HandOverRefused>
      what;
};

// Another agent asks this one to run a request. HandOverExecutor::Accept() or Refuse() must follow.
struct RunOffered {
  proto::HandOverRequestHead head;
  base::Duration time_left{0};
};

struct BodyBytesReceived {
  std::string bytes;
};

struct BodyEnded {};

// The answer can be written again.
struct AnswerWritable {};

// The result of the run is no longer needed: abort it. The core has already removed it.
struct RunCancelled {};

// At the executor: an event of a run for another agent.
struct ExecutorEvent {
  HandOverId run;
  std::variant<RunOffered, BodyBytesReceived, BodyEnded, AnswerWritable, RunCancelled> what;
};

// The actions that result from one event; each list is in order.
struct HandOverActions {
  std::vector<OutgoingMessage> send;
  std::vector<OriginEvent> origin;
  std::vector<ExecutorEvent> executor;
};

}  // namespace gaugevalve::requests
