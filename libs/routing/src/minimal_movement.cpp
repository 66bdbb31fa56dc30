#include "gaugevalve/routing/minimal_movement.h"

#include <algorithm>
#include <numeric>
#include <optional>
#include <tuple>

namespace gaugevalve::routing {
namespace {

// The state of one assignment: who owns what so far, and each candidate's lack of buckets.
class Matching {
 public:
  Matching(std::span<const AssignmentCandidate> candidates,
           std::span<const AssignmentBucket> buckets)
      : candidates_(candidates), buckets_(buckets), lacks_(Quotas(candidates, buckets.size())) {
    for (const AssignmentBucket& bucket : buckets) {
      const std::optional<std::size_t> owner = PositionOf(bucket.owner);
      owners_.push_back(owner);
      moved_.push_back(false);
      if (owner) {
        lacks_[*owner] -= 1.0;
      }
    }
  }

  // Moves every bucket whose owner isn't a candidate.
  void MoveOrphans(Assignment& assignment) {
    for (std::size_t index = 0; index < buckets_.size(); ++index) {
      if (owners_[index]) {
        continue;
      }
      const std::optional<std::size_t> taker = BestTakerOfOrphan(buckets_[index]);
      if (!taker) {
        ++assignment.blocked;
        continue;
      }
      Move(index, *taker, assignment.forced);
    }
  }

  // Makes the one move that narrows the widest gap. Returns false when no gap above `least_gap` can
  // be narrowed.
  bool NarrowWidestGap(double least_gap, std::vector<BucketMove>& moves) {
    std::vector<std::size_t> by_lack(candidates_.size());
    std::iota(by_lack.begin(), by_lack.end(), std::size_t{0});
    std::stable_sort(by_lack.begin(), by_lack.end(), [&](std::size_t left, std::size_t right) {
      return lacks_[left] > lacks_[right];
    });
    for (auto giver = by_lack.rbegin(); giver != by_lack.rend(); ++giver) {
      for (const std::size_t taker : by_lack) {
        if (lacks_[taker] - lacks_[*giver] <= least_gap) {
          break;
        }
        const std::optional<std::size_t> index = BestBucket(*giver, taker);
        if (index) {
          Move(*index, taker, moves);
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

  // A move adds the old owner to the chain and takes the new one out of it.
  static bool ChainAllows(const AssignmentBucket& bucket, base::NodeId new_owner) {
    const bool grows = bucket.owner_alive && !InChain(bucket, new_owner);
    return !grows || bucket.previous_owners.size() < kMaxPreviousOwners;
  }

  std::optional<std::size_t> BestTakerOfOrphan(const AssignmentBucket& bucket) const {
    // Any member of the chain that isn't already above its quota is better than a longer chain.
    const auto rank = [&](std::size_t position) {
      const AssignmentCandidate& candidate = candidates_[position];
      const bool has_room = candidate.share > 0.0 && lacks_[position] > 0.0;
      const bool shortens = has_room && InChain(bucket, candidate.node);
      const bool near = candidate.zone == bucket.owner_zone;
      return std::tuple(candidate.share > 0.0, shortens, lacks_[position], near);
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

  std::optional<std::size_t> BestBucket(std::size_t giver, std::size_t taker) const {
    const base::NodeId new_owner = candidates_[taker].node;
    const auto cost = [&](std::size_t index) {
      const AssignmentBucket& bucket = buckets_[index];
      return std::tuple(!InChain(bucket, new_owner), bucket.previous_owners.size(),
                        bucket.flows_at_owner);
    };
    std::optional<std::size_t> best;
    for (std::size_t index = 0; index < buckets_.size(); ++index) {
      const bool movable =
          owners_[index] == giver && !moved_[index] && ChainAllows(buckets_[index], new_owner);
      if (movable && (!best || cost(index) < cost(*best))) {
        best = index;
      }
    }
    return best;
  }

  void Move(std::size_t index, std::size_t taker, std::vector<BucketMove>& moves) {
    if (owners_[index]) {
      lacks_[*owners_[index]] += 1.0;
    }
    lacks_[taker] -= 1.0;
    owners_[index] = taker;
    moved_[index] = true;
    moves.push_back(
        {base::BucketIndex(static_cast<std::uint16_t>(index)), candidates_[taker].node});
  }

  std::span<const AssignmentCandidate> candidates_;
  std::span<const AssignmentBucket> buckets_;
  std::vector<double> lacks_;  // quota minus owned, by candidate
  std::vector<std::optional<std::size_t>> owners_;
  std::vector<bool> moved_;
};

}  // namespace

Assignment MinimalMovement::Assign(std::span<const AssignmentCandidate> candidates,
                                   std::span<const AssignmentBucket> buckets,
                                   std::size_t allowance) const {
  Assignment assignment;
  Matching matching(candidates, buckets);
  matching.MoveOrphans(assignment);
  const double even_quota =
      static_cast<double>(buckets.size()) / static_cast<double>(candidates.size());
  const double least_gap = 1.0 + hysteresis_ * even_quota;
  while (assignment.optional.size() < allowance &&
         matching.NarrowWidestGap(least_gap, assignment.optional)) {
  }
  return assignment;
}

}  // namespace gaugevalve::routing
