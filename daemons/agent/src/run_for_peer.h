// A request that another agent handed over, run at this agent's endpoint.
#pragma once

#include <cstddef>

#include "admitted_request.h"
#include "gaugevalve/quic/request_handler.h"
#include "gaugevalve/requests/hand_over_id.h"
#include "hand_over_service.h"

namespace gaugevalve::agent {

// Takes the place of the HTTP/3 connection. Its AdmittedRequest passes the same admission as
// requests of this agent's own callers. The answer is sent to the other agent frame by frame.
class RunForPeer final : private quic::ResponseWriter, private RefusalSink {
 public:
  RunForPeer(const requests::HandOverId& id, requests::RequestId request_id,
             const quic::RequestHead& head, HandOverService& service, RequestOwner& owner);

  // Starts the request and tells the other agent that it may send the body.
  void Begin();

  void HandleBody(std::span<const std::uint8_t> bytes);
  void HandleBodyEnd() { request_.OnBodyEnd(); }
  void HandleWritable() { request_.OnWritable(); }
  void HandleCancel();

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
  std::size_t unconsumed_ = 0;  // body bytes that the request has not consumed
  bool is_body_paused_ = false;
  bool is_finished_ = false;
  AdmittedRequest request_;
};

}  // namespace gaugevalve::agent
