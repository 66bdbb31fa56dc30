#include "datagram_flow.h"

#include <algorithm>
#include <utility>

namespace gaugevalve::load {

std::string_view ToString(FlowBreak cause) {
  switch (cause) {
    case FlowBreak::kEndpointChanged:
      return "endpoint_changed";
    case FlowBreak::kWrongService:
      return "wrong_service";
    case FlowBreak::kSilent:
      return "silent";
  }
  return "unknown";
}

DatagramFlow::DatagramFlow(std::uint64_t number, std::string service, const FlowTiming& timing,
                           base::TimePoint ends_at)
    : number_(number), service_(std::move(service)), timing_(timing), ends_at_(ends_at) {}

std::optional<standins::EchoRequest> DatagramFlow::OnTimer(base::TimePoint now) {
  const bool is_waiting = attempts_made_ > 0;
  if (!is_waiting && now >= ends_at_ && request_number_ > 0) {
    finished_ = true;
    return std::nullopt;
  }
  if (is_waiting && attempts_made_ >= timing_.attempts) {
    broken_ = FlowBreak::kSilent;
    return std::nullopt;
  }
  if (is_waiting) {
    ++retransmissions_;
  } else {
    ++request_number_;
    first_sent_at_ = now;
  }
  ++attempts_made_;
  wake_up_at_ = now + timing_.retry_after;
  return standins::EchoRequest{service_, number_, request_number_};
}

AnswerVerdict DatagramFlow::OnAnswer(const standins::EchoAnswer& answer, base::TimePoint now) {
  if (answer.request.flow != number_ || answer.request.number > request_number_ ||
      answer.request.number == 0 || answer.request.service != service_) {
    return {AnswerKind::kCrossed, {}};
  }
  if (answer.endpoint_service != service_) {
    return Break(FlowBreak::kWrongService, answer.endpoint);
  }
  if (!endpoint_.empty() && answer.endpoint != endpoint_) {
    return Break(FlowBreak::kEndpointChanged, answer.endpoint);
  }
  endpoint_ = answer.endpoint;
  if (attempts_made_ == 0 || answer.request.number < request_number_) {
    return {AnswerKind::kDuplicate, {}};
  }
  attempts_made_ = 0;
  wake_up_at_ = std::min(now + timing_.request_interval, std::max(now, ends_at_));
  return {AnswerKind::kAnswer, now - first_sent_at_};
}

void DatagramFlow::EndSoon(base::TimePoint now) {
  ends_at_ = std::min(ends_at_, now);
  if (attempts_made_ == 0) {
    wake_up_at_ = std::min(wake_up_at_, now);
  }
}

AnswerVerdict DatagramFlow::Break(FlowBreak cause, const std::string& other_endpoint) {
  broken_ = cause;
  other_endpoint_ = other_endpoint;
  return {AnswerKind::kBreaking, {}};
}

}  // namespace gaugevalve::load
