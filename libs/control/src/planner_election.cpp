#include "gaugevalve/control/planner_election.h"

#include "gaugevalve/base/hash.h"

namespace gaugevalve::control {
namespace {

constexpr std::uint32_t kHashedTagMask = 0x7FFF;

std::uint64_t Weight(base::ServiceId service, base::NodeId node) {
  return base::HashPair(node.value(), service.value());
}

std::uint32_t HashedTag(const membership::Member& member) {
  const std::uint64_t hash =
      base::HashPair(member.node.value(), member.metadata->process_incarnation.value());
  return kFirstHashedTag | static_cast<std::uint32_t>(hash & kHashedTagMask);
}

}  // namespace

std::optional<ElectedPlanner> ElectPlanner(base::ServiceId service, const Roster& roster,
                                           const MemberDirectory& directory) {
  std::optional<ElectedPlanner> best;
  const auto consider = [&](base::NodeId node, std::uint32_t tag) {
    if (!best.has_value() || Weight(service, node) > Weight(service, best->node)) {
      best = ElectedPlanner{node, tag};
    }
  };
  for (const RosterMember& member : roster.members) {
    if (directory.IsLive(member.node, member.incarnation)) {
      consider(member.node, member.slot);
    }
  }
  if (best.has_value()) {
    return best;
  }
  for (const base::NodeId node : directory.Balancers()) {
    consider(node, HashedTag(*directory.Find(node)));
  }
  return best;
}

std::uint32_t TakeOverGeneration(const routing::TableVersion& newest, std::uint64_t epoch,
                                 std::uint32_t tag) {
  const std::uint32_t take_overs = newest.epoch == epoch ? (newest.generation >> kTagBits) + 1 : 1;
  return (take_overs << kTagBits) | tag;
}

}  // namespace gaugevalve::control
