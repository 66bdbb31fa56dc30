#include "gaugevalve/placement/peer_agent_list.h"

#include <algorithm>

namespace gaugevalve::placement {
namespace {

// An agent that wasn't among so many that balancers named has gone: where there are as many agents
// as the list holds, one in fifty is left out wrongly. In larger deployments it has been pushed out
// before.
constexpr std::uint64_t kForgetAfterNames = 256;

}  // namespace

void PeerAgentList::Take(std::span<const ListedAgent> agents) {
  for (const ListedAgent& agent : agents) {
    ++m_names;
    TakeOne(agent);
  }
}

void PeerAgentList::TakeOne(const ListedAgent& agent) {
  if (agent.address == m_self) {
    return;
  }
  auto place = std::find_if(m_entries.begin(), m_entries.end(), [&](const Entry& entry) {
    return entry.agent.address == agent.address;
  });
  if (place == m_entries.end() && m_entries.size() >= kLimit) {
    place = std::min_element(
        m_entries.begin(), m_entries.end(),
        [](const Entry& left, const Entry& right) { return left.name < right.name; });
  }
  if (place == m_entries.end()) {
    m_entries.push_back({agent, m_names});
  } else {
    *place = {agent, m_names};
  }
}

std::vector<ListedAgent> PeerAgentList::List() const {
  std::vector<ListedAgent> listed;
  for (const Entry& entry : m_entries) {
    if (m_names - entry.name <= kForgetAfterNames) {
      listed.push_back(entry.agent);
    }
  }
  return listed;
}

}  // namespace gaugevalve::placement
