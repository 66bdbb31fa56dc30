#include "gaugevalve/control/coordinator.h"

#include <algorithm>
#include <string>
#include <vector>

#include "gaugevalve/base/hash.h"

namespace gaugevalve::control {
namespace {

// A live balancer that isn't on the roster, and how many roster members its zone has.
struct Candidate {
  std::size_t members_in_zone = 0;
  std::uint64_t weight = 0;
  base::NodeId node;
  std::string zone;
};

std::string ZoneOf(const MemberDirectory& directory, base::NodeId node) {
  const membership::Member* member = directory.Find(node);
  return member == nullptr ? std::string() : member->metadata->zone;
}

}  // namespace

void Coordinator::OnLeaseHeld(std::uint64_t epoch, base::TimePoint now) {
  if (epoch == epoch_) {
    return;
  }
  epoch_ = epoch;
  must_resign_ = false;
  settled_at_ = now + options_.settle_time;
  next_slot_ = 0;
  published_ = {};
  missing_since_.clear();
}

void Coordinator::OnLeaseLost() {
  epoch_ = 0;
  must_resign_ = false;
}

std::optional<Roster> Coordinator::Tick(const MemberDirectory& directory, const Roster& newest,
                                        std::optional<std::uint32_t> settings_schema,
                                        base::TimePoint now) {
  if (!IsSettled(now)) {
    return std::nullopt;
  }
  if (newest.epoch > epoch_) {
    must_resign_ = true;
    return std::nullopt;
  }
  const bool first = published_.epoch != epoch_;
  // A new epoch keeps the members that it finds, so that few services change their planner.
  const Roster& last = first ? newest : published_;
  Roster next{epoch_, published_.sequence, {}, settings_schema.value_or(last.settings_schema)};
  for (const RosterMember& member : last.members) {
    if (!IsOverdue(member, directory, now)) {
      const std::uint32_t slot = first ? next_slot_++ : member.slot;
      next.members.push_back({member.node, member.incarnation, slot});
    }
  }
  FillVacancies(directory, next);
  const bool unchanged =
      next.members == published_.members && next.settings_schema == published_.settings_schema;
  if (must_resign_ || unchanged) {
    return std::nullopt;
  }
  ++next.sequence;
  published_ = next;
  return next;
}

// Tells whether this incarnation has been gone for longer than `replace_after`. Another incarnation
// of the node replaces it at once.
bool Coordinator::IsOverdue(const RosterMember& member, const MemberDirectory& directory,
                            base::TimePoint now) {
  if (directory.IsLive(member.node, member.incarnation)) {
    missing_since_.erase(member.node);
    return false;
  }
  if (directory.Find(member.node) != nullptr) {
    return true;
  }
  const auto [since, added] = missing_since_.try_emplace(member.node, now);
  const bool overdue = now >= since->second + options_.replace_after;
  if (overdue) {
    missing_since_.erase(since);
  }
  return overdue;
}

// Adds live balancers one at a time, each from the zone that has the fewest members.
void Coordinator::FillVacancies(const MemberDirectory& directory, Roster& roster) {
  std::map<std::string, std::size_t> members_in_zone;
  for (const RosterMember& member : roster.members) {
    ++members_in_zone[ZoneOf(directory, member.node)];
  }
  std::vector<Candidate> candidates;
  for (const base::NodeId node : directory.Balancers()) {
    const bool leaving = directory.Find(node)->metadata->leaving;
    if (!leaving && roster.Find(node) == nullptr) {
      candidates.push_back(
          {0, base::HashPair(node.value(), epoch_), node, ZoneOf(directory, node)});
    }
  }
  while (roster.members.size() < options_.roster_size && !candidates.empty()) {
    for (Candidate& candidate : candidates) {
      candidate.members_in_zone = members_in_zone[candidate.zone];
    }
    const auto best = std::min_element(candidates.begin(), candidates.end(),
                                       [](const Candidate& left, const Candidate& right) {
                                         return left.members_in_zone != right.members_in_zone
                                                    ? left.members_in_zone < right.members_in_zone
                                                    : left.weight < right.weight;
                                       });
    if (next_slot_ >= kSlotsPerEpoch) {
      must_resign_ = true;
      return;
    }
    roster.members.push_back(
        {best->node, directory.Find(best->node)->metadata->process_incarnation, next_slot_++});
    ++members_in_zone[best->zone];
    candidates.erase(best);
  }
}

}  // namespace gaugevalve::control
