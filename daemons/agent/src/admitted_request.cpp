#include "admitted_request.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "gaugevalve/base/hash.h"
#include "gaugevalve/requests/request_headers.h"
#include "gaugevalve/telemetry/event.h"

namespace gaugevalve::agent {
namespace {

constexpr int kBadRequest = 400;

bool IsSafe(std::string_view method) {
  return method == "GET" || method == "HEAD" || method == "OPTIONS" || method == "TRACE";
}

std::span<const std::uint8_t> AsBytes(std::string_view text) {
  return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

// Sends a complete answer that the agent generates itself.
void SendAnswer(quic::ResponseWriter& writer, int status, quic::HeaderFields fields,
                std::string_view body) {
  fields.push_back({"content-length", std::to_string(body.size())});
  writer.SendHead({status, std::move(fields)});
  if (!body.empty()) {
    writer.WriteBody(AsBytes(body));
  }
  writer.Finish();
}

void SetField(quic::HeaderFields& fields, std::string_view name, const std::string& value) {
  std::erase_if(fields, [&](const quic::HeaderField& field) { return field.name == name; });
  fields.push_back({std::string(name), value});
}

}  // namespace

AdmittedRequest::AdmittedRequest(requests::RequestId id, const quic::RequestHead& head,
                                 quic::ResponseWriter& writer, RequestOwner& owner,
                                 RefusalSink* refusals)
    : id_(id), head_(head), writer_(writer), owner_(owner), refusals_(refusals) {
  const std::string_view accept = quic::FindField(head.fields, "accept");
  is_stream_ = accept.find("text/event-stream") != std::string_view::npos;
  const bool has_key = !quic::FindField(head.fields, requests::kIdempotencyKeyHeader).empty();
  is_keyed_ = has_key && !IsSafe(head.method);
}

AdmittedRequest::~AdmittedRequest() {
  exchange_.reset();
  if (has_arrived_ && !is_decided_) {
    owner_.OnCancelled(id_);
  }
}

void AdmittedRequest::Begin() {
  if (!is_keyed_) {
    has_arrived_ = true;
    owner_.OnArrived(*this);
  }
}

std::uint64_t AdmittedRequest::Fingerprint() const {
  const std::uint64_t target = base::HashText(head_.path, base::HashText(head_.method));
  // Bytes beyond the limit are left out: how many have arrived depends on how the body was split
  // into datagrams or frames.
  return base::HashText(std::string_view(early_body_).substr(0, kMaxEarlyBodyBytes), target);
}

// A keyed request can be decided on once its body is complete or the part that the fingerprint
// covers has arrived.
void AdmittedRequest::NotifyArrivalIfReady() {
  const bool is_ready = is_body_complete_ || early_body_.size() >= kMaxEarlyBodyBytes;
  if (is_keyed_ && is_ready && !has_arrived_) {
    has_arrived_ = true;
    owner_.OnArrived(*this);
  }
}

bool AdmittedRequest::Start(const ExchangeStarter& starter,
                            std::optional<base::Duration> time_left) {
  if (time_left) {
    SetField(head_.fields, requests::kTimeoutHeader, requests::FormatTimeout(*time_left));
  }
  exchange_ = starter(head_, *this);
  if (exchange_ == nullptr) {
    return false;
  }
  if (!early_body_.empty() && exchange_->WriteBody(AsBytes(early_body_))) {
    writer_.ConsumeBody(std::exchange(unconsumed_, 0));
  }
  if (is_body_complete_) {
    exchange_->FinishBody();
  }
  return true;
}

void AdmittedRequest::Refuse(const requests::Refusal& refusal) {
  is_decided_ = true;
  if (refusals_ != nullptr) {
    refusals_->Refuse(refusal);
    return;
  }
  quic::HeaderFields fields{
      {std::string(requests::kOutcomeHeader), std::string(requests::OutcomeName(refusal.outcome))}};
  if (const std::int64_t seconds = requests::RetryAfterSeconds(refusal); seconds > 0) {
    fields.push_back({"retry-after", std::to_string(seconds)});
  }
  const std::string message = std::string(requests::ReasonName(refusal.reason)) + "\n";
  fields.push_back({"content-type", "text/plain"});
  SendAnswer(writer_, requests::HttpStatusOf(refusal), std::move(fields), message);
}

void AdmittedRequest::Repeat(const requests::StoredAnswer& answer) {
  is_decided_ = true;
  quic::HeaderFields fields{{std::string(requests::kOutcomeHeader), "repeated"}};
  if (!answer.content_type.empty()) {
    fields.push_back({"content-type", answer.content_type});
  }
  SendAnswer(writer_, answer.status, std::move(fields), answer.body);
}

void AdmittedRequest::RefuseMalformed(const std::string& message) {
  is_decided_ = true;
  SendAnswer(writer_, kBadRequest,
             {{std::string(requests::kOutcomeHeader), "not-run"}, {"content-type", "text/plain"}},
             message + "\n");
}

void AdmittedRequest::OnBody(std::span<const std::uint8_t> bytes) {
  if (exchange_ != nullptr) {
    has_sent_body_parts_ = true;
    if (exchange_->WriteBody(bytes)) {
      writer_.ConsumeBody(bytes.size());
    } else {
      unconsumed_ += bytes.size();
    }
    return;
  }
  if (is_decided_) {
    writer_.ConsumeBody(bytes.size());
    return;
  }
  const bool has_room = early_body_.size() + bytes.size() <= kMaxEarlyBodyBytes;
  early_body_.append(reinterpret_cast<const char*>(bytes.data()), bytes.size());
  if (has_room) {
    writer_.ConsumeBody(bytes.size());
  } else {
    unconsumed_ += bytes.size();
  }
  NotifyArrivalIfReady();
}

void AdmittedRequest::OnBodyEnd() {
  is_body_complete_ = true;
  if (exchange_ != nullptr) {
    exchange_->FinishBody();
  }
  NotifyArrivalIfReady();
}

void AdmittedRequest::OnWritable() {
  waits_for_caller_ = false;
  if (exchange_ != nullptr) {
    exchange_->ResumeReading();
  }
}

void AdmittedRequest::OnCancelled(quic::Http3Error) {
  exchange_.reset();
  if (has_arrived_ && !is_decided_) {
    is_decided_ = true;
    owner_.OnCancelled(id_);
  }
}

void AdmittedRequest::OnAnswerHead(const quic::ResponseHead& head) {
  has_answer_head_ = true;
  stored_answer_.status = head.status;
  stored_answer_.content_type = std::string(quic::FindField(head.fields, "content-type"));
  const bool says_not_run = quic::FindField(head.fields, requests::kOutcomeHeader) ==
                            requests::OutcomeName(requests::RequestOutcome::kNotRun);
  is_refused_by_endpoint_ = says_not_run;
  writer_.SendHead(head);
  owner_.OnAnswerBegan(id_);
  if (!is_stream_ && stored_answer_.content_type.starts_with("text/event-stream")) {
    is_stream_ = true;
    owner_.OnBecameStream(id_);
  }
}

void AdmittedRequest::OnAnswerBody(std::span<const std::uint8_t> bytes) {
  if (is_keyed_) {
    StoreForRepeats(bytes);
  }
  answer_bytes_ += bytes.size();
  if (!writer_.WriteBody(bytes)) {
    waits_for_caller_ = true;
    exchange_->PauseReading();
  }
}

void AdmittedRequest::StoreForRepeats(std::span<const std::uint8_t> bytes) {
  std::string& body = stored_answer_.body;
  is_answer_too_long_ =
      is_answer_too_long_ || body.size() + bytes.size() > requests::kMaxStoredBodyBytes;
  if (is_answer_too_long_) {
    body.clear();
  } else {
    body.append(reinterpret_cast<const char*>(bytes.data()), bytes.size());
  }
}

void AdmittedRequest::OnAnswerEnd() {
  exchange_.reset();
  writer_.Finish();
  is_decided_ = true;
  owner_.OnEnded(id_,
                 is_refused_by_endpoint_ ? requests::EndpointResult::kRefused
                                         : requests::EndpointResult::kAnswered,
                 stored_answer_);
}

void AdmittedRequest::OnExchangeFailed(const ExchangeFailure& failure) {
  telemetry::Event(telemetry::Level::kInfo, "exchange_failed")
      .Field("request", id_)
      .Field("kind", ToString(failure.kind))
      .Field("detail", failure.reason)
      .Field("answer_begun", has_answer_head_);
  exchange_.reset();
  if (has_answer_head_) {
    is_decided_ = true;
    writer_.Reset(quic::Http3Error::kInternalError);
  }
  requests::EndpointResult end = requests::EndpointResult::kFailed;
  if (failure.kind == ExchangeFailure::Kind::kNotSent) {
    end = has_sent_body_parts_ ? requests::EndpointResult::kBodyNotReplayable
                               : requests::EndpointResult::kNotSent;
  }
  owner_.OnEnded(id_, end, {});
}

void AdmittedRequest::OnRequestWritable() { writer_.ConsumeBody(std::exchange(unconsumed_, 0)); }

}  // namespace gaugevalve::agent
