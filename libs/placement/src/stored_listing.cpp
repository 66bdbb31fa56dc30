#include "gaugevalve/placement/stored_listing.h"

#include <algorithm>

namespace gaugevalve::placement {
namespace {

// A listing that names a part of the agents is renewed where their number changes by one in so
// many.
constexpr std::size_t kLargestChange = 20;

}  // namespace

void StoredListing::NoteStored(const AgentListing& listing) {
  m_named.clear();
  for (const ListedAgent& agent : listing.agents) {
    m_named.push_back(agent.address);
  }
  m_agent_count = listing.agent_count;
}

void StoredListing::NoteNotStored() {
  m_named.clear();
  m_agent_count = 0;
}

bool StoredListing::IsNumberOutdated(std::size_t agent_count) const {
  const bool has_room = m_named.size() < kMaxAgents;
  if (has_room) {
    return agent_count != m_named.size();
  }
  const std::size_t change =
      std::max(agent_count, m_agent_count) - std::min(agent_count, m_agent_count);
  return change * kLargestChange > m_agent_count;
}

}  // namespace gaugevalve::placement
