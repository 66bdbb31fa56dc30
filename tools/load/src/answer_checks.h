// Handlers of the answers that an http3 flow receives, which check what they are given.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "gaugevalve/quic/response_handler.h"
#include "http3_report.h"

namespace gaugevalve::load {

// Fields of answers, as they are named on HTTP/3, in lower case (see standins/endpoint_headers.h).
inline constexpr std::string_view kOutcomeField = "gaugevalve-outcome";
inline constexpr std::string_view kEndpointField = "gaugevalve-endpoint";

// What a handler found when its request has ended.
struct CheckedAnswer {
  CallerOutcome outcome = CallerOutcome::kUnknown;
  bool is_crossed = false;       // the answer belongs to another request
  bool is_cut_as_whole = false;  // the answer is said to be whole and is not
  std::string endpoint;          // that answered; "" when it didn't say
};

// How much of an answer has come.
struct AnswerProgress {
  int status = 0;              // 0 before the head
  std::uint64_t received = 0;  // bytes of the body
  std::string endpoint;        // that answers; "" when it didn't say
};

// Common part: the head, and the verdict on requests that got no answer of success.
class AnswerCheck : public quic::ResponseHandler {
 public:
  using Done = std::function<void(const CheckedAnswer&)>;

  // `done` is called once, when the request has ended, and must not destroy the client.
  explicit AnswerCheck(Done done);

  using OnProgress = std::function<void(const AnswerProgress&)>;

  // Makes `progress` be called when the head and whenever a part of the body arrives.
  void SetProgress(OnProgress progress) { progress_ = std::move(progress); }

  void OnHead(const quic::ResponseHead& head) override;
  void OnBody(std::span<const std::uint8_t> bytes) override;
  void OnEnd() override;
  void OnFailed(const quic::RequestFailure& failure) override;

 protected:
  // Looks at a part of a successful answer's body.
  virtual void CheckBody(std::span<const std::uint8_t> bytes) = 0;

  // Returns whether the whole body of a successful answer belongs to the request.
  virtual bool IsOwnBody() const = 0;

 private:
  bool IsSuccess() const;

  Done done_;
  OnProgress progress_ = [](const AnswerProgress&) {};
  AnswerProgress state_;
  std::string outcome_field_;
  std::optional<std::uint64_t> stated_length_;
};

// A reservation's answer names the key of the request.
class ReservationCheck final : public AnswerCheck {
 public:
  ReservationCheck(std::string key, Done done);

 protected:
  void CheckBody(std::span<const std::uint8_t> bytes) override;
  bool IsOwnBody() const override;

 private:
  std::string key_;
  std::string body_;  // at most kMaxBodyBytes
};

// A drawing's bytes follow from its number.
class DrawingCheck final : public AnswerCheck {
 public:
  DrawingCheck(std::uint64_t drawing, Done done);

 protected:
  void CheckBody(std::span<const std::uint8_t> bytes) override;
  bool IsOwnBody() const override { return !has_mismatch_; }

 private:
  std::uint64_t drawing_;
  std::uint64_t offset_ = 0;
  bool has_mismatch_ = false;
};

}  // namespace gaugevalve::load
