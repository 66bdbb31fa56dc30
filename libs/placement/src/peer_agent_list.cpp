#include "gaugevalve/placement/peer_agent_list.h"

#include <algorithm>

namespace gaugevalve::placement {
namespace {

// An agent that was not among this many named agents has gone. If the deployment has as many agents
// as the list has entries, one in fifty is omitted wrongly. In larger deployments such an agent has
// already been replaced in the list.
constexpr std::uint64_t kMaxNamingAge = 256;

}  // namespace

void PeerAgentList::Take(std::span<const ListedAgent> agents) {
  for (const ListedAgent& agent : agents) {
    ++m_naming_count;
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
        [](const Entry& left, const Entry& right) { return left.last_naming < right.last_naming; });
  }
  if (place == m_entries.end()) {
    place = m_entries.emplace(m_entries.end());
  }
  *place = {agent, m_naming_count};
  place->agent.is_stopping = false;  // entries are kept for longer than restarts take
}

std::vector<ListedAgent> PeerAgentList::List() const {
  std::vector<ListedAgent> listed;
  for (const Entry& entry : m_entries) {
    if (m_naming_count - entry.last_naming <= kMaxNamingAge) {
      listed.push_back(entry.agent);
    }
  }
  return listed;
}

}  // namespace gaugevalve::placement
