// A store without content in simulated time: reachable or not, with a rate limit, and counting.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/store/token_bucket.h"

namespace gaugevalve::proofs {

// How the store treats a request.
enum class HollowAnswer : std::uint8_t { kUnreachable, kRateLimited, kOk };

// Counts arrivals per second, also those of an outage: they cost a network and a balancer too.
class HollowStore {
 public:
  explicit HollowStore(double rate_limit) : bucket_(rate_limit, rate_limit) {}

  HollowAnswer Receive(base::TimePoint now);
  void SetReachable(bool reachable) { reachable_ = reachable; }

  // Moves on to this revision and forgets all before it.
  void CompactAt(base::Revision revision) { revision_ = revision; }

  // Returns the newest revision, which is also the oldest that a stream can start from.
  base::Revision Revision() const { return revision_; }

  // Returns the most arrivals in any whole second that begins in [from, to).
  std::uint64_t PeakPerSecond(base::TimePoint from, base::TimePoint to) const;

  // Returns the arrivals in [from, to), whole seconds.
  std::uint64_t Total(base::TimePoint from, base::TimePoint to) const;

  std::uint64_t RateLimited() const { return rate_limited_; }

 private:
  static std::size_t SecondOf(base::TimePoint time);

  store::TokenBucket bucket_;
  bool reachable_ = true;
  base::Revision revision_{1};
  std::vector<std::uint64_t> arrivals_;  // index: second
  std::uint64_t rate_limited_ = 0;
};

}  // namespace gaugevalve::proofs
