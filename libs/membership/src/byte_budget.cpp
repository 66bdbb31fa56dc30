#include "byte_budget.h"

#include <algorithm>
#include <limits>

namespace gaugevalve::membership {
namespace {

constexpr base::Duration kWindow = std::chrono::seconds(1);

}  // namespace

std::size_t ByteBudget::AvailableBytes(SendPriority priority, base::TimePoint now) {
  while (!entries_.empty() && now - entries_.front().at > kWindow) {
    sum_ -= entries_.front().bytes;
    repair_sum_ -= entries_.front().repair_bytes;
    entries_.pop_front();
  }
  if (priority == SendPriority::kUnlimited) {
    return std::numeric_limits<std::size_t>::max();
  }
  const std::size_t room = sum_ < bytes_per_second_ ? bytes_per_second_ - sum_ : 0;
  if (priority == SendPriority::kProbe) {
    return room;
  }
  const std::size_t repair_limit = bytes_per_second_ - reserve_;
  return std::min(room, repair_sum_ < repair_limit ? repair_limit - repair_sum_ : 0);
}

void ByteBudget::RecordSent(std::size_t bytes, SendPriority priority, base::TimePoint now) {
  if (entries_.empty() || entries_.back().at != now) {
    entries_.push_back({now, 0, 0});
  }
  entries_.back().bytes += bytes;
  sum_ += bytes;
  if (priority == SendPriority::kRepair) {
    entries_.back().repair_bytes += bytes;
    repair_sum_ += bytes;
  }
}

}  // namespace gaugevalve::membership
