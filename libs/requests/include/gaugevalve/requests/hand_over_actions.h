// The actions of the hand-over core of an agent after one event.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "gaugevalve/base/time.h"
#include "gaugevalve/requests/at_most_once.h"
#include "gaugevalve/requests/hand_over_id.h"
#include "gaugevalve/requests/request_outcome.h"
#include "gaugevalve/requests/requests.pb.h"
#include "gaugevalve/routing/agent_incarnation.h"

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

/// Why an origin takes the executor of a hand-over for lost.
enum class ExecutorLossCause : std::uint8_t {
  kSilent,          ///< the agent sent no message at all within HandOverLimits::peer_timeout
  kRunUnknown,      ///< the executor answered that it no longer has the run
  kNewIncarnation,  ///< the table lists a newer incarnation of the executor
  kInvalidAnswer,   ///< the executor aborted the answer, or its frames are out of order
};

/// Returns the name used in the log, such as "silent".
std::string_view ToString(ExecutorLossCause cause);

/// A hand-over whose executor is taken for lost. For the log.
struct ExecutorLoss {
  RequestId request;
  HandOverId hand_over;
  ExecutorLossCause cause = ExecutorLossCause::kSilent;
  /// Kind of the executor's last message about this request; BODY_NOT_SET: there was none.
  proto::HandOverMessage::BodyCase last_message = proto::HandOverMessage::BODY_NOT_SET;
  /// Time since the executor's last message about any request, or since the offer.
  base::Duration silence{0};
  bool is_accepted = false;        ///< the executor had accepted the request
  bool is_listed_as_live = false;  ///< membership counts the executor as live
  /// The newest sign of the executor's process within the time-out, whatever it was about.
  std::optional<routing::AgentContact> contact;
  /// Time since that sign.
  base::Duration contact_age{0};
};

// The actions that result from one event; each list is in order.
struct HandOverActions {
  std::vector<OutgoingMessage> send;
  std::vector<OriginEvent> origin;
  std::vector<ExecutorEvent> executor;
  std::vector<ExecutorLoss> executor_losses;
};

}  // namespace gaugevalve::requests
