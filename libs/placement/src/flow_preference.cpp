#include "gaugevalve/placement/flow_preference.h"

#include <algorithm>
#include <tuple>

#include "gaugevalve/base/hash.h"
#include "gaugevalve/placement/flow_hash.h"

namespace gaugevalve::placement {
namespace {

bool IsOfSameGroup(const KnownAgent& left, const KnownAgent& right) {
  return left.report.service == right.report.service && left.zone == right.zone;
}

}  // namespace

std::vector<RankedAgent> RankForFlow(std::uint64_t flow_hash, std::span<KnownAgent* const> agents) {
  std::vector<RankedAgent> ranked;
  ranked.reserve(agents.size());
  for (KnownAgent* agent : agents) {
    ranked.push_back({agent, 0, base::HashPair(flow_hash, AddressHash(agent->address))});
  }
  const auto place = [](const RankedAgent& entry) {
    return std::tie(entry.agent->report.service, entry.agent->zone, entry.hash);
  };
  std::sort(ranked.begin(), ranked.end(),
            [&](const auto& left, const auto& right) { return place(left) < place(right); });
  std::size_t rank = 0;
  for (std::size_t index = 0; index < ranked.size(); ++index) {
    const bool is_same_group =
        index > 0 && IsOfSameGroup(*ranked[index - 1].agent, *ranked[index].agent);
    rank = is_same_group ? rank + 1 : 0;
    ranked[index].tier = rank / kPreferredPerZone;
  }
  return ranked;
}

std::vector<KnownAgent*> PreferredForFlow(std::uint64_t flow_hash,
                                          std::span<KnownAgent* const> agents) {
  std::vector<KnownAgent*> first;
  for (const RankedAgent& ranked : RankForFlow(flow_hash, agents)) {
    if (ranked.tier == 0) {
      first.push_back(ranked.agent);
    }
  }
  return first;
}

}  // namespace gaugevalve::placement
