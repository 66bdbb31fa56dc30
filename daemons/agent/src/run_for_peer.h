// One request of another agent's caller, run at this agent's endpoint.
#pragma once

#include <cstddef>

#include "admitted_request.h"
#include "gaugevalve/quic/request_handler.h"
#include "gaugevalve/requests/hand_over_id.h"
#include "hand_over_service.h"

namespace gaugevalve::agent {

// Stands in for the HTTP/3 connection: an AdmittedRequest above it runs like one of this agent's
// own callers, through the same admission, and its answer goes back frame by frame.
class RunForPeer final : private quic::ResponseWriter, private RefusalSink {
 public:
  RunForPeer(const requests::HandOverId& id, requests::RequestId request_id,
             const quic::RequestHead& head, HandOverService& service, RequestOwner& owner);

  // Tells the owner, and the other agent that its body may come.
  void Begin();

  void TakeBody(std::span<const std::uint8_t> bytes);
  void TakeBodyEnd() { request_.OnBodyEnd(); }
  void TakeRoom() { request_.OnWritable(); }
  void TakeCancel();

 private:
  // quic::ResponseWriter
  void SendHead(const quic::ResponseHead& head) override;
  bool WriteBody(std::span<const std::uint8_t> bytes) override;
  void Finish() override;
  void Reset(quic::Http3Error error) override;
  void ConsumeBody(std::size_t bytes) override;
  // RefusalSink
  void Refuse(const requests::Refusal& refusal) override;

  requests::HandOverId id_;
  HandOverService& service_;
  std::size_t unconsumed_ = 0;  // body bytes that the request has no room for
  bool is_body_paused_ = false;
  bool is_over_ = false;
  AdmittedRequest request_;
};

}  // namespace gaugevalve::agent
