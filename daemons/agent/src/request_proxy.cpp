#include "request_proxy.h"

#include <string>
#include <utility>

#include "gaugevalve/requests/request_outcome.h"
#include "http1_request.h"

namespace gaugevalve::agent {
namespace {

constexpr int kBadRequest = 400;

// Sends an answer of the agent's own, without a body.
void SendStatus(quic::ResponseWriter& writer, int status, quic::HeaderFields fields) {
  fields.push_back({"content-length", "0"});
  writer.SendHead({status, std::move(fields)});
  writer.Finish();
}

// Tells the caller that its request was refused or that its outcome isn't known.
void SendRefusal(quic::ResponseWriter& writer, const requests::Refusal& refusal) {
  SendStatus(writer, requests::HttpStatusOf(refusal),
             {{std::string(requests::kOutcomeHeader),
               std::string(requests::OutcomeName(refusal.outcome))}});
}

// A request between its caller and the endpoint.
class ProxiedRequest final : public quic::RequestHandler, public EndpointEvents {
 public:
  explicit ProxiedRequest(quic::ResponseWriter& writer) : writer_(writer) {}

  void Start(EndpointClient& client, const quic::RequestHead& head) {
    if (!IsWritable(head)) {
      SendStatus(writer_, kBadRequest, {});
      return;
    }
    exchange_ = client.Start(head, *this);
    if (exchange_ == nullptr) {
      SendRefusal(writer_, {requests::RequestOutcome::kNotRun,
                            requests::RefusalReason::kEndpointDown, base::Duration{0}});
    }
  }

  // quic::RequestHandler
  void OnBody(std::span<const std::uint8_t> bytes) override {
    if (exchange_ == nullptr || exchange_->WriteBody(bytes)) {
      writer_.ConsumeBody(bytes.size());
    } else {
      unconsumed_ += bytes.size();
    }
  }
  void OnBodyEnd() override {
    if (exchange_ != nullptr) {
      exchange_->FinishBody();
    }
  }
  void OnWritable() override {
    if (exchange_ != nullptr) {
      exchange_->ResumeReading();
    }
  }
  void OnCancelled(quic::Http3Error) override { exchange_.reset(); }

  // EndpointEvents
  void OnAnswerHead(const quic::ResponseHead& head) override {
    has_head_ = true;
    writer_.SendHead(head);
  }
  void OnAnswerBody(std::span<const std::uint8_t> bytes) override {
    if (!writer_.WriteBody(bytes)) {
      exchange_->PauseReading();
    }
  }
  void OnAnswerEnd() override {
    exchange_.reset();
    writer_.Finish();
  }
  void OnExchangeFailed(const ExchangeFailure& failure) override {
    exchange_.reset();
    if (has_head_) {
      writer_.Reset(quic::Http3Error::kInternalError);
      return;
    }
    const bool was_sent = failure.kind != ExchangeFailure::Kind::kNotSent;
    SendRefusal(writer_, {was_sent ? requests::RequestOutcome::kOutcomeUnknown
                                   : requests::RequestOutcome::kNotRun,
                          was_sent ? requests::RefusalReason::kEndpointFailed
                                   : requests::RefusalReason::kEndpointDown,
                          base::Duration{0}});
  }
  void OnRequestWritable() override { writer_.ConsumeBody(std::exchange(unconsumed_, 0)); }

 private:
  quic::ResponseWriter& writer_;
  std::unique_ptr<EndpointExchange> exchange_;  // null once it is over
  std::size_t unconsumed_ = 0;                  // body bytes that wait to be sent to the endpoint
  bool has_head_ = false;
};

}  // namespace

std::unique_ptr<quic::RequestHandler> RequestProxy::OnRequest(const quic::RequestHead& head,
                                                              const quic::Path&,
                                                              quic::ResponseWriter& writer) {
  auto request = std::make_unique<ProxiedRequest>(writer);
  request->Start(client_, head);
  return request;
}

}  // namespace gaugevalve::agent
