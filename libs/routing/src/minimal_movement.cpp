#include "gaugevalve/routing/minimal_movement.h"

#include <algorithm>
#include <numeric>
#include <optional>
#include <tuple>

namespace gaugevalve::routing {
namespace {

// State of one assignment: the owners so far, and how many buckets each candidate lacks to its
// quota.
class Matching {
 public:
  Matching(std::span<const AssignmentCandidate> candidates,
           std::span<const AssignmentBucket> buckets)
      : candidates_(candidates), buckets_(buckets), deficits_(Quotas(candidates, buckets.size())) {
    for (const AssignmentBucket& bucket : buckets) {
      const std::optional<std::size_t> owner = PositionOf(bucket.owner);
      owners_.push_back(owner);
      moved_.push_back(false);
      if (owner) {
        deficits_[*owner] -= 1.0;
      }
    }
  }

  // Moves every bucket whose owner isn't a candidate.
  void MoveOrphanedBuckets(Assignment& assignment) {
    for (std::size_t index = 0; index < buckets_.size(); ++index) {
      if (owners_[index]) {
        continue;
      }
      const std::optional<std::size_t> recipient = BestRecipientForOrphan(buckets_[index]);
      if (!recipient) {
        ++assignment.blocked;
        continue;
      }
      Move(index, *recipient, assignment.forced);
    }
  }

  // Moves one bucket to reduce the largest difference of deficits. Returns false when no difference
  // above `min_gap` can be reduced.
  bool NarrowWidestGap(double min_gap, std::vector<BucketMove>& moves) {
    std::vector<std::size_t> by_deficit(candidates_.size());
    std::iota(by_deficit.begin(), by_deficit.end(), std::size_t{0});
    std::stable_sort(
        by_deficit.begin(), by_deficit.end(),
        [&](std::size_t left, std::size_t right) { return deficits_[left] > deficits_[right]; });
    for (auto donor = by_deficit.rbegin(); donor != by_deficit.rend(); ++donor) {
      for (const std::size_t recipient : by_deficit) {
        if (deficits_[recipient] - deficits_[*donor] <= min_gap) {
          break;
        }
        const std::optional<std::size_t> index = BestBucket(*donor, recipient);
        if (index) {
          Move(*index, recipient, moves);
          return true;
        }
      }
    }
    return false;
  }

 private:
  static std::vector<double> Quotas(std::span<const AssignmentCandidate> candidates,
                                    std::size_t bucket_count) {
    double sum = 0.0;
    for (const AssignmentCandidate& candidate : candidates) {
      sum += candidate.share;
    }
    std::vector<double> quotas;
    for (const AssignmentCandidate& candidate : candidates) {
      const double part =
          sum > 0.0 ? candidate.share / sum : 1.0 / static_cast<double>(candidates.size());
      quotas.push_back(part * static_cast<double>(bucket_count));
    }
    return quotas;
  }

  std::optional<std::size_t> PositionOf(base::NodeId node) const {
    const auto found = std::lower_bound(
        candidates_.begin(), candidates_.end(), node,
        [](const AssignmentCandidate& left, base::NodeId right) { return left.node < right; });
    if (found == candidates_.end() || found->node != node) {
      return std::nullopt;
    }
    return static_cast<std::size_t>(found - candidates_.begin());
  }

  static bool InChain(const AssignmentBucket& bucket, base::NodeId node) {
    return std::find(bucket.previous_owners.begin(), bucket.previous_owners.end(), node) !=
           bucket.previous_owners.end();
  }

  // A move adds the old owner to the chain and removes the new one from it.
  static bool ChainAllows(const AssignmentBucket& bucket, base::NodeId new_owner) {
    const bool grows = bucket.owner_alive && !InChain(bucket, new_owner);
    return !grows || bucket.previous_owners.size() < kMaxPreviousOwners;
  }

  std::optional<std::size_t> BestRecipientForOrphan(const AssignmentBucket& bucket) const {
    // A member of the chain that is below its quota is preferred, because the chain gets no longer.
    const auto rank = [&](std::size_t position) {
      const AssignmentCandidate& candidate = candidates_[position];
      const bool has_room = candidate.share > 0.0 && deficits_[position] > 0.0;
      const bool shortens = has_room && InChain(bucket, candidate.node);
      const bool near = candidate.zone == bucket.owner_zone;
      return std::tuple(candidate.share > 0.0, shortens, deficits_[position], near);
    };
    std::optional<std::size_t> best;
    for (std::size_t position = 0; position < candidates_.size(); ++position) {
      if (!ChainAllows(bucket, candidates_[position].node)) {
        continue;
      }
      if (!best || rank(position) > rank(*best)) {
        best = position;
      }
    }
    return best;
  }

  std::optional<std::size_t> BestBucket(std::size_t donor, std::size_t recipient) const {
    const base::NodeId new_owner = candidates_[recipient].node;
    const auto cost = [&](std::size_t index) {
      const AssignmentBucket& bucket = buckets_[index];
      return std::tuple(!InChain(bucket, new_owner), bucket.previous_owners.size(),
                        bucket.flows_at_owner);
    };
    std::optional<std::size_t> best;
    for (std::size_t index = 0; index < buckets_.size(); ++index) {
      const bool movable =
          owners_[index] == donor && !moved_[index] && ChainAllows(buckets_[index], new_owner);
      if (movable && (!best || cost(index) < cost(*best))) {
        best = index;
      }
    }
    return best;
  }

  void Move(std::size_t index, std::size_t recipient, std::vector<BucketMove>& moves) {
    if (owners_[index]) {
      deficits_[*owners_[index]] += 1.0;
    }
    deficits_[recipient] -= 1.0;
    owners_[index] = recipient;
    moved_[index] = true;
    moves.push_back(
        {base::BucketIndex(static_cast<std::uint16_t>(index)), candidates_[recipient].node});
  }

  std::span<const AssignmentCandidate> candidates_;
  std::span<const AssignmentBucket> buckets_;
  std::vector<double> deficits_;  // quota minus owned buckets, by candidate
  std::vector<std::optional<std::size_t>> owners_;
  std::vector<bool> moved_;
};

}  // namespace

Assignment MinimalMovement::Assign(std::span<const AssignmentCandidate> candidates,
                                   std::span<const AssignmentBucket> buckets,
                                   std::size_t allowance) const {
  Assignment assignment;
  Matching matching(candidates, buckets);
  matching.MoveOrphanedBuckets(assignment);
  const double even_quota =
      static_cast<double>(buckets.size()) / static_cast<double>(candidates.size());
  const double min_gap = 1.0 + hysteresis_ * even_quota;
  while (assignment.optional.size() < allowance &&
         matching.NarrowWidestGap(min_gap, assignment.optional)) {
  }
  return assignment;
}

}  // namespace gaugevalve::routing
