#include "request_oracle.h"

namespace gaugevalve::proofs {
namespace {

constexpr int kMaxSafeExecutions = 2;  // HandOverLimits::max_offers

// Content that differs between requests and between positions within one request.
std::string Content(std::uint64_t number, std::size_t size, std::uint64_t salt) {
  constexpr std::uint64_t kStepMs = 31;
  std::string bytes(size, '\0');
  for (std::size_t index = 0; index < size; ++index) {
    bytes[index] = static_cast<char>(number * kStepMs + salt + index * (index >> 8U) + index);
  }
  return bytes;
}

}  // namespace

std::uint64_t RequestOracle::Add(bool is_safe, std::size_t body_size, std::size_t answer_size) {
  const std::uint64_t number = entries_.size();
  OracleEntry entry;
  entry.is_safe = is_safe;
  entry.body = Content(number, body_size, 1);
  entry.answer = Content(number, answer_size, 2);
  entries_.push_back(std::move(entry));
  return number;
}

void RequestOracle::Require(bool holds, std::string_view requirement) {
  if (!holds && violation_.empty()) {
    violation_ = requirement;
  }
}

void RequestOracle::OnExecuted(std::uint64_t number) {
  OracleEntry& entry = entries_[number];
  ++entry.executions;
  Require(!entry.was_told_not_run, "ran after its caller was told \"not run\"");
  Require(entry.executions <= (entry.is_safe ? kMaxSafeExecutions : 1),
          "ran more often than allowed");
}

void RequestOracle::OnBodyReceived(std::uint64_t number, std::string_view body, bool is_whole) {
  const OracleEntry& entry = entries_[number];
  Require(entry.body.starts_with(body), "the endpoint received a different body");
  Require(!is_whole || body.size() == entry.body.size(),
          "a truncated body was delivered as complete");
}

void RequestOracle::OnHandedOver(std::uint64_t number) {
  ++entries_[number].hand_over_count;
  Require(entries_[number].hand_over_count <= 1, "handed over more than once");
}

void RequestOracle::OnAnswerHead(std::uint64_t number) {
  OracleEntry& entry = entries_[number];
  Require(!entry.has_ended && !entry.has_head, "a second answer began");
  Require(entry.executions > 0, "an answer without an execution");
  entry.has_head = true;
}

void RequestOracle::OnAnswerBytes(std::uint64_t number, std::string_view bytes) {
  OracleEntry& entry = entries_[number];
  Require(!entry.has_ended && entry.has_head, "answer bytes outside an answer");
  entry.received += bytes;
  Require(entry.answer.starts_with(entry.received),
          "the answer differs from the endpoint's answer");
}

void RequestOracle::OnAnswerCompleted(std::uint64_t number) {
  Require(entries_[number].received == entries_[number].answer,
          "a truncated answer was delivered as complete");
  End(number);
}

void RequestOracle::OnAnswerAborted(std::uint64_t number) {
  Require(entries_[number].has_head, "the answer was aborted before it began");
  End(number);
}

void RequestOracle::OnRefused(std::uint64_t number, requests::RequestOutcome outcome) {
  OracleEntry& entry = entries_[number];
  Require(!entry.has_head, "refused after its answer began");
  entry.was_told_not_run = outcome == requests::RequestOutcome::kNotRun;
  Require(!entry.was_told_not_run || entry.executions == 0,
          "the caller was told \"not run\" although it ran");
  End(number);
}

void RequestOracle::End(std::uint64_t number) {
  Require(!entries_[number].has_ended, "ended twice");
  entries_[number].has_ended = true;
}

}  // namespace gaugevalve::proofs
