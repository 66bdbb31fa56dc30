#include "probe_rings.h"

#include <algorithm>

#include "gaugevalve/base/hash.h"

namespace gaugevalve::membership {
namespace {

// The ring used for each successive probe. The two rings of the zone are used twice as often as the
// two wide ones.
constexpr std::array<std::size_t, 6> kSchedule = {0, 1, 2, 0, 1, 3};

}  // namespace

ProbeRings::ProbeRings(base::NodeId self) : self_(self) {
  constexpr std::array<Proximity, kRings> kFarthest = {
      Proximity::kSameZone, Proximity::kSameZone, Proximity::kSameRegion, Proximity::kOtherRegion};
  for (std::size_t index = 0; index < kRings; ++index) {
    Ring& ring = rings_.at(index);
    ring.farthest = kFarthest.at(index);
    ring.salt = index + 1;
    ring.origin = base::HashPair(self.value(), ring.salt);
  }
}

void ProbeRings::OnMemberChanged(const Member& member, Proximity proximity) {
  for (Ring& ring : rings_) {
    if (proximity <= ring.farthest && AffectsTargets(ring, member)) {
      ring.is_stale = true;
    }
  }
}

std::optional<base::NodeId> ProbeRings::Next(const MemberTable& table,
                                             const ProximityClassifier& classifier) {
  for (std::size_t tried = 0; tried < kSchedule.size(); ++tried) {
    Ring& ring = rings_.at(kSchedule.at(step_));
    step_ = (step_ + 1) % kSchedule.size();
    const std::optional<base::NodeId> target = NextTargetOf(ring, table, classifier);
    if (target) {
      return target;
    }
  }
  return std::nullopt;
}

std::vector<base::NodeId> ProbeRings::NewTargets(const MemberTable& table,
                                                 const ProximityClassifier& classifier) {
  std::vector<base::NodeId> targets;
  for (Ring& ring : rings_) {
    if (!ring.is_stale) {
      continue;
    }
    Rebuild(ring, table, classifier);
    if (!ring.targets.empty()) {
      targets.push_back(ring.targets.back().node);
    }
  }
  return targets;
}

bool ProbeRings::IsTarget(base::NodeId node) const {
  return std::any_of(rings_.begin(), rings_.end(), [node](const Ring& ring) {
    return std::any_of(ring.targets.begin(), ring.targets.end(),
                       [node](const Target& target) { return target.node == node; });
  });
}

std::uint64_t ProbeRings::Distance(const Ring& ring, base::NodeId node) {
  return base::HashPair(node.value(), ring.salt) - ring.origin;
}

bool ProbeRings::AffectsTargets(const Ring& ring, const Member& member) {
  if (ring.is_stale) {
    return false;
  }
  const std::uint64_t distance = Distance(ring, member.node);
  const bool ends_with_live_target = !ring.targets.empty() && !ring.targets.back().is_suspect;
  return !ends_with_live_target || distance <= ring.targets.back().distance;
}

void ProbeRings::Rebuild(Ring& ring, const MemberTable& table,
                         const ProximityClassifier& classifier) const {
  std::optional<Target> nearest;
  std::vector<Target> suspects;
  for (const auto& [node, member] : table.Members()) {
    if (node == self_ || !IsLive(member.state) || classifier.Of(*member.metadata) > ring.farthest) {
      continue;
    }
    const Target target{Distance(ring, node), node, member.state == MemberState::kSuspect};
    if (target.is_suspect) {
      suspects.push_back(target);
    } else if (!nearest || target < *nearest) {
      nearest = target;
    }
  }
  std::sort(suspects.begin(), suspects.end());
  ring.targets.clear();
  for (const Target& suspect : suspects) {
    const bool has_room = ring.targets.size() + 1 < kMaximumTargets;
    if (has_room && (!nearest || suspect < *nearest)) {
      ring.targets.push_back(suspect);
    }
  }
  if (nearest) {
    ring.targets.push_back(*nearest);
  }
  ring.cursor = ring.targets.empty() ? 0 : ring.targets.size() - 1;
  ring.is_stale = false;
}

std::optional<base::NodeId> ProbeRings::NextTargetOf(Ring& ring, const MemberTable& table,
                                                     const ProximityClassifier& classifier) const {
  if (ring.is_stale) {
    Rebuild(ring, table, classifier);
  }
  if (ring.targets.empty()) {
    return std::nullopt;
  }
  const base::NodeId target = ring.targets.at(ring.cursor).node;
  ring.cursor = (ring.cursor + 1) % ring.targets.size();
  return target;
}

}  // namespace gaugevalve::membership
