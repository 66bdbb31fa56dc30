#include "gaugevalve/requests/hand_over_codec.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>

#include "gaugevalve/requests/hand_over_limits.h"

namespace gaugevalve::requests {
namespace {

constexpr int kMaxFields = 256;
constexpr std::size_t kMaxHeadBytes = std::size_t{64} * 1024;
constexpr std::uint64_t kMaxMicroseconds = std::uint64_t{24} * 3600 * 1'000'000;
constexpr std::uint64_t kMaxSequence = std::uint64_t{1} << 62U;
constexpr std::uint32_t kFirstFinalStatus = 200;  // RFC 9110: 1xx statuses are not final
constexpr std::uint32_t kLastStatus = 599;
constexpr std::uint32_t kHops = 1;
constexpr char kDelete = '\x7f';

bool IsVisible(char character) {
  return static_cast<unsigned char>(character) > ' ' && character != kDelete;
}

bool IsToken(const std::string& text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), IsVisible);
}

bool IsFieldValue(const std::string& text) {
  return std::all_of(text.begin(), text.end(), [](char character) {
    return IsVisible(character) || character == ' ' || character == '\t';
  });
}

template <class Fields>
bool AreValidFields(const Fields& fields, std::size_t bytes) {
  for (const proto::HandOverField& field : fields) {
    const bool is_name = IsToken(field.name()) && field.name().find(':') == std::string::npos;
    if (!is_name || !IsFieldValue(field.value())) {
      return false;
    }
    bytes += field.name().size() + field.value().size();
  }
  return fields.size() <= kMaxFields && bytes <= kMaxHeadBytes;
}

bool IsValidId(const proto::HandOverId& id) {
  const bool names_two_agents =
      id.origin() != 0 && id.executor() != 0 && id.origin() != id.executor();
  return names_two_agents && id.origin_incarnation() != 0 && id.executor_incarnation() != 0 &&
         id.number() != 0 && id.number() < kMaxSequence;
}

bool IsValidOffer(const proto::HandOverOffer& offer) {
  return offer.hops() == kHops && offer.time_left_microseconds() <= kMaxMicroseconds &&
         IsWellFormed(offer.head());
}

bool IsValidRefusal(const proto::HandOverRefusal& refusal) {
  const bool is_outcome =
      refusal.outcome() == static_cast<std::uint32_t>(RequestOutcome::kNotRun) ||
      refusal.outcome() == static_cast<std::uint32_t>(RequestOutcome::kOutcomeUnknown);
  return is_outcome && refusal.reason() < kRefusalReasonCount &&
         refusal.retry_after_microseconds() <= kMaxMicroseconds;
}

bool IsValidChunk(const proto::HandOverFrame& frame) {
  return !frame.bytes().empty() && frame.bytes().size() <= kMaxChunkBytes;
}

bool IsValidRequestFrame(const proto::HandOverFrame& frame) {
  const bool is_body = frame.has_bytes() && IsValidChunk(frame);
  return frame.sequence() < kMaxSequence && (is_body || (frame.has_end() && frame.end()));
}

bool IsValidAnswerFrame(const proto::HandOverFrame& frame) {
  if (frame.sequence() >= kMaxSequence) {
    return false;
  }
  switch (frame.body_case()) {
    case proto::HandOverFrame::kHead:
      return IsWellFormed(frame.head());
    case proto::HandOverFrame::kBytes:
      return IsValidChunk(frame);
    case proto::HandOverFrame::kEnd:
      return frame.end();
    case proto::HandOverFrame::kRefusal:
      return IsValidRefusal(frame.refusal());
    case proto::HandOverFrame::kCut:
      return frame.cut();
    case proto::HandOverFrame::BODY_NOT_SET:
      return false;
  }
  return false;
}

bool IsValidAcknowledgement(const proto::HandOverAcknowledgement& message) {
  return message.next_sequence() < kMaxSequence &&
         message.credit_limit() >= message.next_sequence() &&
         message.credit_limit() - message.next_sequence() <= kWindowFrames;
}

}  // namespace

std::optional<proto::AtMostOnceMessage> DecodePeerMessage(std::string_view bytes) {
  proto::AtMostOnceMessage message;
  const bool is_parsed = message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
  if (!is_parsed || (message.has_hand_over() && !IsWellFormed(message.hand_over()))) {
    return std::nullopt;
  }
  return message;
}

bool IsWellFormed(const proto::HandOverMessage& message) {
  if (message.has_load()) {
    return !message.has_id() && message.load().node() != 0 && message.load().incarnation() != 0;
  }
  if (!IsValidId(message.id())) {
    return false;
  }
  switch (message.body_case()) {
    case proto::HandOverMessage::kOffer:
      return IsValidOffer(message.offer());
    case proto::HandOverMessage::kRequestFrame:
      return IsValidRequestFrame(message.request_frame());
    case proto::HandOverMessage::kRequestAcknowledgement:
      return IsValidAcknowledgement(message.request_acknowledgement());
    case proto::HandOverMessage::kAnswerFrame:
      return IsValidAnswerFrame(message.answer_frame());
    case proto::HandOverMessage::kAnswerAcknowledgement:
      return IsValidAcknowledgement(message.answer_acknowledgement());
    case proto::HandOverMessage::kClose:
      return message.close();
    case proto::HandOverMessage::kGone:
      return message.gone();
    default:
      return false;
  }
}

bool IsFrame(const proto::HandOverMessage& message) {
  return message.has_request_frame() || message.has_answer_frame();
}

bool IsWellFormed(const proto::HandOverRequestHead& head) {
  const std::size_t line_bytes =
      head.method().size() + head.scheme().size() + head.authority().size() + head.path().size();
  return IsToken(head.method()) && IsToken(head.scheme()) && IsToken(head.authority()) &&
         IsToken(head.path()) && AreValidFields(head.fields(), line_bytes);
}

bool IsWellFormed(const proto::HandOverAnswerHead& head) {
  return head.status() >= kFirstFinalStatus && head.status() <= kLastStatus &&
         AreValidFields(head.fields(), 0);
}

void EncodeHandOverId(const HandOverId& id, proto::HandOverId* message) {
  message->set_origin(id.origin.value());
  message->set_origin_incarnation(id.origin_incarnation.value());
  message->set_number(id.number);
  message->set_executor(id.executor.value());
  message->set_executor_incarnation(id.executor_incarnation.value());
}

HandOverId DecodeHandOverId(const proto::HandOverId& message) {
  return {base::NodeId(message.origin()), base::Incarnation(message.origin_incarnation()),
          message.number(), base::NodeId(message.executor()),
          base::Incarnation(message.executor_incarnation())};
}

proto::HandOverRefusal EncodeRefusal(const Refusal& refusal) {
  const std::int64_t retry_after = std::clamp<std::int64_t>(
      refusal.retry_after.count(), 0, static_cast<std::int64_t>(kMaxMicroseconds));
  proto::HandOverRefusal message;
  message.set_outcome(static_cast<std::uint32_t>(refusal.outcome));
  message.set_reason(static_cast<std::uint32_t>(refusal.reason));
  message.set_retry_after_microseconds(static_cast<std::uint64_t>(retry_after));
  return message;
}

Refusal DecodeRefusal(const proto::HandOverRefusal& message) {
  return {static_cast<RequestOutcome>(message.outcome()),
          static_cast<RefusalReason>(message.reason()),
          base::Duration(static_cast<std::int64_t>(message.retry_after_microseconds()))};
}

}  // namespace gaugevalve::requests
