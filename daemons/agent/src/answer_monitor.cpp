#include "answer_monitor.h"

namespace gaugevalve::agent {

std::vector<quic::StreamOutput> AnswerMonitor::TakeStalled(
    const std::vector<quic::StreamOutput>& outputs, base::TimePoint now) {
  std::vector<quic::StreamOutput> stalled;
  std::map<Key, Progress> present;
  for (const quic::StreamOutput& output : outputs) {
    const Key key{output.remote, output.stream};
    const auto former = progress_.find(key);
    const bool is_same =
        former != progress_.end() && former->second.acknowledged == output.acknowledged;
    Progress progress = is_same ? former->second : Progress{output.acknowledged, now, false};
    if (!progress.is_reported && now - progress.since >= kStallTime) {
      progress.is_reported = true;
      stalled.push_back(output);
    }
    present[key] = progress;
  }
  progress_ = std::move(present);
  return stalled;
}

}  // namespace gaugevalve::agent
