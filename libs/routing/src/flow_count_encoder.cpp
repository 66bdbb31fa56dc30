#include "gaugevalve/routing/flow_count_encoder.h"

#include <algorithm>
#include <utility>

namespace gaugevalve::routing {
namespace {

// Tells whether a count is so far from the one that is known that it must be sent.
bool IsFarOff(std::uint32_t flows, std::uint32_t known) {
  const std::uint32_t distance = flows > known ? flows - known : known - flows;
  const bool emptiness_differs = (flows == 0) != (known == 0);
  return emptiness_differs || distance > known / 2 + 1;
}

}  // namespace

void FlowCountEncoder::EncodeChanges(AgentReport& report) {
  const std::vector<std::uint32_t> flows = std::exchange(report.flows_in_buckets, {});
  const bool is_remembered = base_.sequence > 0 && report.sequence - base_.sequence < kRemembered;
  if (!is_remembered || base_.flows.size() != flows.size()) {
    base_ = {};
    Slot(report.sequence) = {report.sequence, flows};
    report.flows_in_buckets = flows;
    return;
  }
  report.flows_base = base_.sequence;
  std::vector<std::uint32_t> as_sent = base_.flows;
  for (std::size_t position = 0; position < flows.size(); ++position) {
    if (MustName(position, flows[position])) {
      const base::BucketIndex bucket(static_cast<std::uint16_t>(position));
      report.flow_changes.push_back({bucket, flows[position]});
      as_sent[position] = flows[position];
    }
  }
  Slot(report.sequence) = {report.sequence, std::move(as_sent)};
}

bool FlowCountEncoder::MustName(std::size_t bucket, std::uint32_t flows) const {
  const bool is_repeated = mechanisms_.repeat_unanswered && WasNamedSinceBase(bucket);
  return is_repeated || IsFarOff(flows, base_.flows[bucket]);
}

bool FlowCountEncoder::WasNamedSinceBase(std::size_t bucket) const {
  return std::any_of(sent_.begin(), sent_.end(), [&](const Sent& sent) {
    return sent.sequence > base_.sequence && sent.flows[bucket] != base_.flows[bucket];
  });
}

void FlowCountEncoder::HandleAnswer(std::uint64_t sequence, FlowCountsOutcome outcome) {
  const Sent& answered = Slot(sequence);
  if (answered.sequence != sequence || sequence < base_.sequence) {
    return;
  }
  if (outcome == FlowCountsOutcome::kNeedsFullReport) {
    Reset();
  } else if (outcome == FlowCountsOutcome::kAccepted && !answered.flows.empty()) {
    base_ = answered;
  }
}

void FlowCountEncoder::Reset() {
  base_ = {};
  sent_ = {};
}

}  // namespace gaugevalve::routing
