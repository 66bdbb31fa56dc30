// A request of a caller, from its arrival at the agent to the end of its answer.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>

#include "endpoint_client.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/quic/request_handler.h"
#include "gaugevalve/requests/request_pipeline.h"

namespace gaugevalve::agent {

class AdmittedRequest;

// Progress of a request's answer.
struct AnswerProgress {
  bool has_begun = false;
  std::uint64_t bytes = 0;  // of the answer's body so far
  // The caller's flow control blocks the answer, or the caller has not sent its whole body.
  bool waits_for_caller = false;
};

// Decides what happens to requests. Must outlive every request.
class RequestOwner {
 public:
  virtual ~RequestOwner() = default;

  // The request can be decided on: its head has arrived and, for a keyed request, the part of the
  // body that the fingerprint covers.
  virtual void OnArrived(AdmittedRequest& request) = 0;

  // The answer's head was sent to the caller.
  virtual void OnAnswerBegan(requests::RequestId id) = 0;

  // The answer is a long-lived event stream, though the caller didn't ask for one.
  virtual void OnBecameStream(requests::RequestId id) = 0;

  // The exchange with the endpoint ended.
  virtual void OnEnded(requests::RequestId id, requests::EndpointResult end,
                       const requests::StoredAnswer& answer) = 0;

  // The caller cancelled the request or its connection ended.
  virtual void OnCancelled(requests::RequestId id) = 0;
};

// Receives the refusals of a request that another agent handed over. That agent answers the caller.
class RefusalSink {
 public:
  virtual ~RefusalSink() = default;
  virtual void Refuse(const requests::Refusal& refusal) = 0;
};

// Buffers the body until the request is started. At most kMaxEarlyBodyBytes are consumed before, so
// that flow control stops the caller. Streams the answer to the caller. A truncated answer is
// reset, so that the caller can't mistake it for a complete one.
class AdmittedRequest final : public quic::RequestHandler, private EndpointEvents {
 public:
  // Limit of body bytes consumed before the request is started. The fingerprint of a keyed request
  // covers these bytes.
  static constexpr std::size_t kMaxEarlyBodyBytes = 64 * 1024;

  // `refusals` is null for a request of this agent's own caller, which receives a refusal as an
  // answer.
  AdmittedRequest(requests::RequestId id, const quic::RequestHead& head,
                  quic::ResponseWriter& writer, RequestOwner& owner,
                  RefusalSink* refusals = nullptr);
  ~AdmittedRequest() override;

  // Starts to receive the request. Notifies the owner once the request can be decided on.
  void Begin();

  // The owner calls the following methods to carry out its decision.
  // Sends the request through `starter`, with this time left until its deadline (nothing for a
  // stream). Returns false when nothing could be sent.
  bool Start(const ExchangeStarter& starter, std::optional<base::Duration> time_left);
  void Refuse(const requests::Refusal& refusal);
  void Repeat(const requests::StoredAnswer& answer);
  void RefuseMalformed(const std::string& message);
  void Abandon() { exchange_.reset(); }

  requests::RequestId Id() const { return id_; }
  const quic::RequestHead& Head() const { return head_; }
  bool IsKeyed() const { return is_keyed_; }
  bool IsStream() const { return is_stream_; }
  // Ends an answer that has begun and will not be completed: its caller gets a reset.
  void CutAnswer(const std::string& reason) {
    OnExchangeFailed({ExchangeFailure::Kind::kCutAnswer, reason});
  }

  AnswerProgress Progress() const {
    return {has_answer_head_, answer_bytes_, waits_for_caller_ || !is_body_complete_};
  }
  // Returns whether another agent handed the request over.
  bool WasHandedOver() const { return refusals_ != nullptr; }

  // Returns the hash of method, path and the first kMaxEarlyBodyBytes of the body.
  std::uint64_t Fingerprint() const;

  // quic::RequestHandler
  void OnBody(std::span<const std::uint8_t> bytes) override;
  void OnBodyEnd() override;
  void OnWritable() override;
  void OnCancelled(quic::Http3Error error) override;

 private:
  // EndpointEvents
  void OnAnswerHead(const quic::ResponseHead& head) override;
  void OnAnswerBody(std::span<const std::uint8_t> bytes) override;
  void OnAnswerEnd() override;
  void OnExchangeFailed(const ExchangeFailure& failure) override;
  void OnRequestWritable() override;

  void NotifyArrivalIfReady();
  void StoreForRepeats(std::span<const std::uint8_t> bytes);

  requests::RequestId id_;
  quic::RequestHead head_;
  quic::ResponseWriter& writer_;
  RequestOwner& owner_;
  RefusalSink* refusals_;
  bool is_keyed_ = false;
  bool is_stream_ = false;
  bool has_arrived_ = false;  // the owner was notified
  bool is_decided_ = false;  // refused, repeated, cancelled or ended: the owner no longer tracks it
  bool is_body_complete_ = false;
  bool has_sent_body_parts_ = false;  // body parts were sent to the endpoint and not stored
  bool has_answer_head_ = false;
  bool is_refused_by_endpoint_ = false;  // the answer says that the request was not run
  bool is_answer_too_long_ = false;      // to be stored for repeated requests
  std::uint64_t answer_bytes_ = 0;
  bool waits_for_caller_ = false;
  std::string early_body_;      // body bytes held until the request is started
  std::size_t unconsumed_ = 0;  // body bytes not yet returned to the caller's flow-control window
  std::unique_ptr<Exchange> exchange_;
  requests::StoredAnswer stored_answer_;
};

}  // namespace gaugevalve::agent
