#include "answer_checks.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "gaugevalve/standins/drawing_pattern.h"
#include "gaugevalve/standins/endpoint_headers.h"

namespace gaugevalve::load {
namespace {

constexpr std::size_t kMaxBodyBytes = 65'536;
constexpr int kFirstSuccess = 200;
constexpr int kLastSuccess = 299;

std::optional<std::uint64_t> ReadNumber(std::string_view text) {
  std::uint64_t number = 0;
  const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (text.empty() || error != std::errc() || rest != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

}  // namespace

AnswerCheck::AnswerCheck(Done done) : done_(std::move(done)) {}

void AnswerCheck::OnHead(const quic::ResponseHead& head) {
  state_.status = head.status;
  outcome_field_ = quic::FindField(head.fields, kOutcomeField);
  state_.endpoint = quic::FindField(head.fields, kEndpointField);
  stated_length_ = ReadNumber(quic::FindField(head.fields, "content-length"));
  progress_(state_);
}

void AnswerCheck::OnBody(std::span<const std::uint8_t> bytes) {
  state_.received += bytes.size();
  progress_(state_);
  if (IsSuccess()) {
    CheckBody(bytes);
  }
}

void AnswerCheck::OnEnd() {
  CheckedAnswer answer;
  answer.endpoint = state_.endpoint;
  answer.is_cut_as_whole = stated_length_.value_or(state_.received) != state_.received;
  if (IsSuccess()) {
    answer.outcome = CallerOutcome::kAnswered;
    answer.is_crossed = !answer.is_cut_as_whole && !IsOwnBody();
  } else if (outcome_field_ == standins::kOutcomeNotRun) {
    answer.outcome = CallerOutcome::kNotRun;
  }
  done_(answer);
}

void AnswerCheck::OnFailed(const quic::RequestFailure& failure) {
  CheckedAnswer answer;
  answer.endpoint = state_.endpoint;
  answer.outcome = failure.WasNotRun() ? CallerOutcome::kNotRun : CallerOutcome::kUnknown;
  done_(answer);
}

bool AnswerCheck::IsSuccess() const {
  return state_.status >= kFirstSuccess && state_.status <= kLastSuccess;
}

ReservationCheck::ReservationCheck(std::string key, Done done)
    : AnswerCheck(std::move(done)), key_(std::move(key)) {}

void ReservationCheck::CheckBody(std::span<const std::uint8_t> bytes) {
  if (body_.size() + bytes.size() <= kMaxBodyBytes) {
    body_.append(bytes.begin(), bytes.end());
  }
}

bool ReservationCheck::IsOwnBody() const {
  constexpr bool kAllowExceptions = false;
  const nlohmann::json document = nlohmann::json::parse(body_, nullptr, kAllowExceptions);
  const auto key = document.is_object() ? document.find("key") : document.end();
  return document.is_object() && key != document.end() && *key == key_;
}

DrawingCheck::DrawingCheck(std::uint64_t drawing, Done done)
    : AnswerCheck(std::move(done)), drawing_(drawing) {}

void DrawingCheck::CheckBody(std::span<const std::uint8_t> bytes) {
  has_mismatch_ = has_mismatch_ || standins::FindDrawingMismatch(drawing_, offset_, bytes);
  offset_ += bytes.size();
}

}  // namespace gaugevalve::load
