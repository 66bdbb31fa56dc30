// Incremental encoding of an agent's flow counts in its reports, to keep reports small.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "gaugevalve/routing/agent_report.h"

namespace gaugevalve::routing {

// How a planner handled the flow counts of a report.
enum class FlowCountsOutcome : std::uint8_t {
  kAccepted = 0,
  kRefused = 1,          // for example, the report was older than one that was accepted before
  kNeedsFullReport = 2,  // the planner has no report that the changes could apply to
};

// Rules of FlowCountEncoder. Proofs disable single rules to show that they detect the resulting
// faults.
struct FlowCountEncoderMechanisms {
  bool repeat_unanswered = true;  // send buckets of unanswered reports again
};

// Replaces the flow counts of all buckets in a report by those that changed since the last report
// that the planner is known to have accepted, the base. A bucket is sent if it became empty or
// ceased to be empty, if its count differs by more than about half, or if an unanswered report has
// sent it, as the planner may or may not have accepted that report. The planner's counts are
// therefore right whichever of the reports it accepted, in the order of their numbers; it ignores
// reports that arrive after a later one.
//
// Counts above 0 are approximate, since planners use them only to order agents and buckets; whether
// a bucket is empty is exact. Memory: the counts of the last kMaxUnansweredReports reports. Pure
// and not thread-safe.
class FlowCountEncoder {
 public:
  // Number of unanswered reports after which the next one is a full report.
  static constexpr std::size_t kMaxUnansweredReports = 8;

  void SetMechanisms(const FlowCountEncoderMechanisms& mechanisms) { mechanisms_ = mechanisms; }

  // Replaces the counts of a full report by changes if possible. The report must have its number;
  // numbers increase by one with each call.
  void EncodeChanges(AgentReport& report);

  // Handles the answer to the report with this number.
  void HandleAnswer(std::uint64_t sequence, FlowCountsOutcome outcome);

  // Discards what was sent, so that the next report is full. Must be called when the planner
  // changes.
  void Reset();

 private:
  struct Sent {
    std::uint64_t sequence = 0;
    std::vector<std::uint32_t> flows{};  // as the planner knows them if it accepted the report
  };

  bool MustSend(std::size_t bucket, std::uint32_t flows) const;
  bool WasSentSinceBase(std::size_t bucket) const;
  Sent& Slot(std::uint64_t sequence) { return sent_[sequence % kMaxUnansweredReports]; }

  FlowCountEncoderMechanisms mechanisms_;
  Sent base_;  // newest report that the planner is known to have accepted; sequence 0: none
  std::array<Sent, kMaxUnansweredReports> sent_{};
};

}  // namespace gaugevalve::routing
