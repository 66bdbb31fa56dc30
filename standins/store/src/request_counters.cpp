#include "request_counters.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace gaugevalve::standins {

void RequestCounters::Count(const std::string& kind, base::TimePoint now) {
  ++requests_[kind];
  ++total_;
  const auto second =
      std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
  in_second_ = second == second_ ? in_second_ + 1 : 1;
  second_ = second;
  peak_per_second_ = std::max(peak_per_second_, in_second_);
}

std::string RequestCounters::ToJson() const {
  return nlohmann::json{{"requests", requests_},
                        {"total", total_},
                        {"rate_limited", rate_limited_},
                        {"lost_answers", lost_answers_},
                        {"peak_per_second", peak_per_second_}}
      .dump();
}

}  // namespace gaugevalve::standins
