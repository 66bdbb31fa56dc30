#include "gaugevalve/placement/balancer_list.h"

#include <algorithm>

namespace gaugevalve::placement {
namespace {

// Time per known balancer within which gossip renews the age of each of them at least once.
constexpr base::Duration kAliveTimePerBalancer = std::chrono::milliseconds(100);

}  // namespace

base::Duration BalancerList::AliveTimeout() const {
  return std::max(m_alive_timeout,
                  kAliveTimePerBalancer * static_cast<int>(m_last_contact_at.size()));
}

bool BalancerList::Note(const base::SocketAddress& address, base::Duration age,
                        base::TimePoint now) {
  if (address == m_self) {
    return false;
  }
  const base::TimePoint contact_at = now - age;
  const auto [entry, is_new] = m_last_contact_at.try_emplace(address, contact_at);
  const bool was_alive = !is_new && now - entry->second <= AliveTimeout();
  entry->second = std::max(entry->second, contact_at);
  return !was_alive && age <= AliveTimeout();
}

std::vector<base::SocketAddress> BalancerList::Targets(std::size_t enough,
                                                       base::TimePoint now) const {
  std::vector<base::SocketAddress> targets;
  std::size_t alive = 0;
  for (const auto& [address, contact_at] : m_last_contact_at) {
    targets.push_back(address);
    alive += now - contact_at <= AliveTimeout() ? 1 : 0;
  }
  if (alive >= enough) {
    return targets;
  }
  for (const base::SocketAddress& seed : m_seeds) {
    const bool is_listed = m_last_contact_at.contains(seed);
    if (!is_listed && seed != m_self) {
      targets.push_back(seed);
    }
  }
  return targets;
}

std::vector<BalancerAge> BalancerList::Alive(base::TimePoint now) const {
  std::vector<BalancerAge> alive;
  for (const auto& [address, contact_at] : m_last_contact_at) {
    const base::Duration age = now - contact_at;
    if (age <= AliveTimeout()) {
      alive.push_back({address, age});
    }
  }
  return alive;
}

void BalancerList::ForgetSilent(base::Duration silence, base::TimePoint now) {
  std::erase_if(m_last_contact_at, [&](const auto& entry) { return now - entry.second > silence; });
}

}  // namespace gaugevalve::placement
