// One flow of the `datagram` mode: numbered requests, one at a time, checked answer by answer.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "gaugevalve/base/time.h"
#include "gaugevalve/standins/echo_message.h"

namespace gaugevalve::load {

// How a flow behaves.
struct FlowTiming {
  base::Duration request_interval;  // from an answer to the next request
  base::Duration retry_after;       // an unanswered request is sent again after so long
  std::uint32_t attempts = 1;       // sends of one request, after which the flow is silent
};

// Why a flow counts as broken.
enum class FlowBreak : std::uint8_t {
  kEndpointChanged,  // another endpoint of the service answered
  kWrongService,     // an endpoint of another service answered
  kSilent,           // a request was sent `attempts` times without an answer
};

// Returns the cause in snake_case, as reports show it.
std::string_view ToString(FlowBreak cause);

// What an arriving datagram was.
enum class AnswerKind : std::uint8_t {
  kAnswer,     // to the request that waits for it
  kDuplicate,  // to an earlier request of this flow, answered before
  kCrossed,    // to a request that this flow never sent
  kBreaking,   // from an endpoint that must not answer; the flow is broken now
};

// The verdict on an arriving datagram.
struct AnswerVerdict {
  AnswerKind kind = AnswerKind::kAnswer;
  base::Duration latency{};  // from the request's first send; for kAnswer
};

// Decides when to send and judges what comes back. A decision core: time is passed in.
class DatagramFlow {
 public:
  // The flow sends until `ends_at` and ends with the answer to its last request.
  DatagramFlow(std::uint64_t number, std::string service, const FlowTiming& timing,
               base::TimePoint ends_at);

  // To be called at WakeUpAt(). Returns the request to send now, if any.
  std::optional<standins::EchoRequest> OnTimer(base::TimePoint now);

  // Judges an answer.
  AnswerVerdict OnAnswer(const standins::EchoAnswer& answer, base::TimePoint now);

  // Makes the flow end after the request that is waiting, at `now` at the latest.
  void EndSoon(base::TimePoint now);

  // Returns when OnTimer() is to be called next. Not for a flow that has ended.
  base::TimePoint WakeUpAt() const { return wake_up_at_; }

  // Tells whether the flow has ended, well or broken.
  bool HasEnded() const { return finished_ || broken_.has_value(); }

  // Returns why the flow broke; nothing when it didn't.
  std::optional<FlowBreak> Broken() const { return broken_; }

  std::uint64_t Number() const { return number_; }

  // Returns the name of the flow's endpoint; "" before the first answer.
  const std::string& Endpoint() const { return endpoint_; }

  // Returns the endpoint that answered although it must not; "" when none did.
  const std::string& OtherEndpoint() const { return other_endpoint_; }

  // Returns how many different requests were sent, and how often one was sent again.
  std::uint64_t Requests() const { return request_number_; }
  std::uint64_t Retransmissions() const { return retransmissions_; }

 private:
  AnswerVerdict Break(FlowBreak cause, const std::string& other_endpoint);

  std::uint64_t number_;
  std::string service_;
  FlowTiming timing_;
  base::TimePoint ends_at_;
  base::TimePoint wake_up_at_{};
  base::TimePoint first_sent_at_{};
  std::uint64_t request_number_ = 0;
  std::uint64_t retransmissions_ = 0;
  std::uint32_t attempts_made_ = 0;  // of the request that waits; 0: none waits
  std::string endpoint_;
  std::string other_endpoint_;
  bool finished_ = false;
  std::optional<FlowBreak> broken_;
};

}  // namespace gaugevalve::load
