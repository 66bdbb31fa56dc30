#include "run_for_peer.h"

#include <string_view>

namespace gaugevalve::agent {
namespace {

// Unconsumed body bytes from which on the other agent is asked to pause the body.
constexpr std::size_t kMaxUnconsumedBytes = 64 * std::size_t{1024};

std::string_view AsText(std::span<const std::uint8_t> bytes) {
  return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

}  // namespace

RunForPeer::RunForPeer(const requests::HandOverId& id, requests::RequestId request_id,
                       const quic::RequestHead& head, HandOverService& service, RequestOwner& owner)
    : id_(id), service_(service), request_(request_id, head, *this, owner, this) {}

void RunForPeer::Begin() {
  request_.Begin();
  requests::HandOverActions actions;
  service_.Executor().Accept(id_, actions);
  service_.Perform(actions);
}

void RunForPeer::HandleBody(std::span<const std::uint8_t> bytes) {
  unconsumed_ += bytes.size();
  request_.OnBody(bytes);
  if (unconsumed_ >= kMaxUnconsumedBytes && !is_body_paused_ && !is_finished_) {
    is_body_paused_ = true;
    requests::HandOverActions actions;
    service_.Executor().SetBodyPaused(id_, true, actions);
    service_.Perform(actions);
  }
}

void RunForPeer::HandleCancel() {
  if (!is_finished_) {
    is_finished_ = true;
    request_.OnCancelled(quic::Http3Error::kRequestCancelled);
    service_.OnRunFinished(id_);
  }
}

void RunForPeer::SendHead(const quic::ResponseHead& head) {
  requests::proto::HandOverAnswerHead message;
  message.set_status(static_cast<std::uint32_t>(head.status));
  for (const quic::HeaderField& field : head.fields) {
    requests::proto::HandOverField* const entry = message.add_fields();
    entry->set_name(field.name);
    entry->set_value(field.value);
  }
  requests::HandOverActions actions;
  service_.Executor().BeginAnswer(id_, message, service_.Now(), actions);
  service_.Perform(actions);
}

bool RunForPeer::WriteBody(std::span<const std::uint8_t> bytes) {
  requests::HandOverActions actions;
  const bool has_room =
      service_.Executor().WriteAnswer(id_, AsText(bytes), service_.Now(), actions);
  service_.Perform(actions);
  return has_room;
}

void RunForPeer::Finish() {
  is_finished_ = true;
  requests::HandOverActions actions;
  service_.Executor().EndAnswer(id_, service_.Now(), actions);
  service_.Perform(actions);
  service_.OnRunFinished(id_);
}

void RunForPeer::Reset(quic::Http3Error /*error*/) {
  is_finished_ = true;
  requests::HandOverActions actions;
  service_.Executor().AbortAnswer(id_, service_.Now(), actions);
  service_.Perform(actions);
  service_.OnRunFinished(id_);
}

void RunForPeer::ConsumeBody(std::size_t bytes) {
  unconsumed_ -= bytes;
  if (is_body_paused_ && unconsumed_ < kMaxUnconsumedBytes && !is_finished_) {
    is_body_paused_ = false;
    requests::HandOverActions actions;
    service_.Executor().SetBodyPaused(id_, false, actions);
    service_.Perform(actions);
  }
}

void RunForPeer::Refuse(const requests::Refusal& refusal) {
  is_finished_ = true;
  requests::HandOverActions actions;
  service_.Executor().Refuse(id_, refusal, service_.Now(), actions);
  service_.Perform(actions);
  service_.OnRunFinished(id_);
}

}  // namespace gaugevalve::agent
