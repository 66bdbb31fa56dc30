// One caller's request on its way through the agent.
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

// How far a request's answer is.
struct AnswerProgress {
  bool has_begun = false;
  std::uint64_t bytes = 0;        // of its body
  bool waits_for_caller = false;  // the caller takes no more for now
};

// Who decides on requests. Outlives every request.
class RequestOwner {
 public:
  virtual ~RequestOwner() = default;

  // All that is needed to decide is there: the head, and of a keyed request the body.
  virtual void OnArrived(AdmittedRequest& request) = 0;

  // The answer's head has gone to the caller.
  virtual void OnAnswerBegan(requests::RequestId id) = 0;

  // The answer is a long-lived event stream, though the caller didn't ask for one.
  virtual void OnBecameStream(requests::RequestId id) = 0;

  // The exchange with the endpoint ended.
  virtual void OnEnded(requests::RequestId id, requests::EndpointResult end,
                       const requests::StoredAnswer& answer) = 0;

  // The caller gave it up, or its connection is gone.
  virtual void OnCancelled(requests::RequestId id) = 0;
};

// Takes the refusals of a request that came from another agent: that agent answers its caller.
class RefusalSink {
 public:
  virtual ~RefusalSink() = default;
  virtual void Refuse(const requests::Refusal& refusal) = 0;
};

// Holds the body back until the request is started, with at most kMaxEarlyBodyBytes consumed: the
// caller's flow control does the rest. Passes the answer on as it comes; one that is cut is reset,
// so that it can't pass for whole.
class AdmittedRequest final : public quic::RequestHandler, private EndpointEvents {
 public:
  // Body bytes taken before the request is started. A keyed request's fingerprint covers these.
  static constexpr std::size_t kMaxEarlyBodyBytes = 64 * 1024;

  // `refusals` is null for a request of this agent's own caller, who gets refusals as answers.
  AdmittedRequest(requests::RequestId id, const quic::RequestHead& head,
                  quic::ResponseWriter& writer, RequestOwner& owner,
                  RefusalSink* refusals = nullptr);
  ~AdmittedRequest() override;

  // Starts to take the request in: tells the owner once all that is needed has come.
  void Begin();

  // The owner's decisions.
  // Sends the request to whoever `starter` reaches, with this time left (nothing for a stream).
  // Returns false when nothing could be sent.
  bool Start(const ExchangeStarter& starter, std::optional<base::Duration> time_left);
  void Refuse(const requests::Refusal& refusal);
  void Repeat(const requests::StoredAnswer& answer);
  void RefuseMalformed(const std::string& words);
  void Abandon() { exchange_.reset(); }

  requests::RequestId Id() const { return id_; }
  const quic::RequestHead& Head() const { return head_; }
  bool IsKeyed() const { return is_keyed_; }
  bool IsStream() const { return is_stream_; }
  AnswerProgress Progress() const { return {has_answer_head_, answer_bytes_, waits_for_caller_}; }
  // It came from another agent.
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

  void ArriveIfReady();
  void KeepForRepeats(std::span<const std::uint8_t> bytes);

  requests::RequestId id_;
  quic::RequestHead head_;
  quic::ResponseWriter& writer_;
  RequestOwner& owner_;
  RefusalSink* refusals_;
  bool is_keyed_ = false;
  bool is_stream_ = false;
  bool has_arrived_ = false;  // the owner was told
  bool is_decided_ = false;   // refused, repeated, cancelled or ended: the owner knows it no more
  bool is_body_whole_ = false;
  bool has_streamed_body_ = false;  // parts went to the endpoint's connection and were not kept
  bool has_answer_head_ = false;
  bool is_refused_by_endpoint_ = false;  // its answer says that it was not run
  bool is_answer_too_long_ = false;      // to be kept for repeats
  std::uint64_t answer_bytes_ = 0;
  bool waits_for_caller_ = false;
  std::string early_body_;      // until it is started
  std::size_t unconsumed_ = 0;  // body bytes the caller has no credit for yet
  std::unique_ptr<Exchange> exchange_;
  requests::StoredAnswer stored_answer_;
};

}  // namespace gaugevalve::agent
