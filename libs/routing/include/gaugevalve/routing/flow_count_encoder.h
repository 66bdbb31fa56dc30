// How an agent tells its planner of its flows with few bytes.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "gaugevalve/routing/agent_report.h"

namespace gaugevalve::routing {

// What a planner did with the flows of a report.
enum class FlowCountsOutcome : std::uint8_t {
  kAccepted = 0,
  kRefused = 1,          // the report was older than another, say
  kNeedsFullReport = 2,  // the planner has nothing that a report could build on
};

// The rules of FlowCountEncoder; proofs switch one off to show that they would notice.
struct FlowCountEncoderMechanisms {
  bool repeat_unanswered = true;  // buckets that a report named whose answer hasn't come
};

// Replaces the counts of each bucket in a report by those that changed since the last report that
// the planner is known to have taken. A bucket is named when it became empty or ceased to be, when
// its count is off by half, and when an unanswered report named it: that one may have been taken or
// not. So what the planner then has is right whichever of them it took, in the order of their
// numbers; the planner ignores reports that come after a later one.
//
// Planners use counts above 0 for order only; whether a bucket is empty is exact. Memory: the
// counts as sent in the last kRemembered reports. Pure and not thread-safe.
class FlowCountEncoder {
 public:
  // Unanswered reports after which the next is a whole one.
  static constexpr std::size_t kRemembered = 8;

  void SetMechanisms(const FlowCountEncoderMechanisms& mechanisms) { mechanisms_ = mechanisms; }

  // Shortens the report, which is whole and has its number. Numbers grow by one with each call.
  void EncodeChanges(AgentReport& report);

  // Takes the answer to the report with this number.
  void HandleAnswer(std::uint64_t sequence, FlowCountsOutcome outcome);

  // Forgets what was sent: the next report is whole. To be called when the planner changes.
  void Reset();

 private:
  struct Sent {
    std::uint64_t sequence = 0;
    std::vector<std::uint32_t> flows{};  // as the planner has them if it took the report
  };

  bool MustName(std::size_t bucket, std::uint32_t flows) const;
  bool WasNamedSinceBase(std::size_t bucket) const;
  Sent& Slot(std::uint64_t sequence) { return sent_[sequence % kRemembered]; }

  FlowCountEncoderMechanisms mechanisms_;
  Sent base_;  // the newest that the planner is known to have taken; sequence 0: none
  std::array<Sent, kRemembered> sent_{};
};

}  // namespace gaugevalve::routing
