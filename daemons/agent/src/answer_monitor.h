// Which answers make no progress on their way to the caller.
#pragma once

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "gaugevalve/base/time.h"
#include "gaugevalve/quic/stream_output.h"

namespace gaugevalve::agent {

// Decision core: compares what streams have to send from call to call. Not thread-safe.
class AnswerMonitor {
 public:
  // An answer of which nothing is acknowledged for so long is stalled: many times a round trip and
  // the loss timers of a caller that lives.
  static constexpr base::Duration kStallTime = std::chrono::seconds(5);

  // Returns the answers that have become stalled since the last call, each once for each stall.
  std::vector<quic::StreamOutput> TakeStalled(const std::vector<quic::StreamOutput>& outputs,
                                              base::TimePoint now);

 private:
  struct Progress {
    std::uint64_t acknowledged = 0;
    base::TimePoint since{};
    bool is_reported = false;
  };
  using Key = std::pair<base::SocketAddress, std::int64_t>;  // caller and stream

  std::map<Key, Progress> progress_;  // of the streams of the last call
};

}  // namespace gaugevalve::agent
