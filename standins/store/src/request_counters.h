// Counts the stand-in's requests, for measurements.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "gaugevalve/base/time.h"

namespace gaugevalve::standins {

// Requests per kind, and the busiest second. A second is a whole one of the monotonic time line.
class RequestCounters {
 public:
  // Counts a request of this kind, as in "range" or "watch".
  void Count(const std::string& kind, base::TimePoint now);

  // Counts a request that was answered 429.
  void CountRateLimited() { ++rate_limited_; }

  // Counts an answer that was lost on purpose.
  void CountLostAnswer() { ++lost_answers_; }

  // Returns {"requests": {kind: count}, "total", "rate_limited", "lost_answers",
  // "peak_per_second"} as JSON.
  std::string ToJson() const;

  std::uint64_t Total() const { return total_; }
  std::uint64_t PeakPerSecond() const { return peak_per_second_; }

 private:
  std::map<std::string, std::uint64_t> requests_;
  std::uint64_t total_ = 0;
  std::uint64_t rate_limited_ = 0;
  std::uint64_t lost_answers_ = 0;
  std::int64_t second_ = -1;
  std::uint64_t in_second_ = 0;
  std::uint64_t peak_per_second_ = 0;
};

}  // namespace gaugevalve::standins
