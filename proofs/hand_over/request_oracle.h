// Oracle of the hand-over proof: what happened to each request, and what its caller was told.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/requests/request_outcome.h"

namespace gaugevalve::proofs {

// One request as its caller and the endpoints see it.
struct OracleEntry {
  bool is_safe = false;
  std::string body;
  std::string answer;  // the endpoint's own
  base::TimePoint deadline;
  base::NodeId origin;
  base::Incarnation origin_incarnation;
  std::size_t body_given = 0;  // bytes passed to the origin's core
  int executions = 0;
  int hand_over_count = 0;  // between agents; repeated offers to other peers do not count
  bool has_head = false;
  std::string received;
  bool has_ended = false;
  bool was_told_not_run = false;
};

// Tracks every request. Stores a description of the first violated requirement; the proof checks it
// after each event.
class RequestOracle {
 public:
  // Adds a request and returns its number. The content is derived from the number and the sizes.
  std::uint64_t Add(bool is_safe, std::size_t body_size, std::size_t answer_size);

  OracleEntry& Of(std::uint64_t number) { return entries_[number]; }
  std::size_t Size() const { return entries_.size(); }

  // An endpoint started to run the request.
  void OnExecuted(std::uint64_t number);
  // An endpoint received the body up to here.
  void OnBodyReceived(std::uint64_t number, std::string_view body, bool is_whole);
  // An agent handed the request over to another agent.
  void OnHandedOver(std::uint64_t number);

  // What the caller received.
  void OnAnswerHead(std::uint64_t number);
  void OnAnswerBytes(std::uint64_t number, std::string_view bytes);
  void OnAnswerCompleted(std::uint64_t number);
  void OnAnswerAborted(std::uint64_t number);
  void OnRefused(std::uint64_t number, requests::RequestOutcome outcome);
  // The caller cancelled the request, or its agent is gone.
  void OnAbandoned(std::uint64_t number) { entries_[number].has_ended = true; }

  void Require(bool holds, std::string_view requirement);

  // Returns the first violated requirement; empty if there is none.
  const std::string& Violation() const { return violation_; }

 private:
  void End(std::uint64_t number);

  std::vector<OracleEntry> entries_;
  std::string violation_;
};

}  // namespace gaugevalve::proofs
