#include "gaugevalve/placement/held_addresses.h"

#include <algorithm>
#include <iterator>

namespace gaugevalve::placement {
namespace {

std::vector<base::SocketAddress> SortedUnique(std::span<const base::SocketAddress> addresses) {
  std::vector<base::SocketAddress> sorted(addresses.begin(), addresses.end());
  std::sort(sorted.begin(), sorted.end());
  sorted.erase(std::unique(sorted.begin(), sorted.end()), sorted.end());
  return sorted;
}

}  // namespace

bool HeldAddresses::Has(const base::SocketAddress& address) const {
  return std::binary_search(addresses.begin(), addresses.end(), address);
}

bool HeldAddressTracker::IsWithinFlowLifetime(base::TimePoint now) const {
  return !m_has_started || now - m_started_at <= m_flow_lifetime;
}

void HeldAddressTracker::Take(std::span<const base::SocketAddress> present, base::TimePoint now) {
  if (!m_has_started) {
    m_has_started = true;
    m_started_at = now;
  }
  for (const base::SocketAddress& address : present) {
    m_seen[address] = now;
  }
  absl::erase_if(m_seen, [now](const auto& entry) { return now - entry.second > kRetention; });
  ListSeen();
  if (!IsWithinFlowLifetime(now)) {
    m_remembered.clear();
  }
}

bool HeldAddressTracker::Add(const base::SocketAddress& address, base::TimePoint now) {
  const auto found = m_seen.find(address);
  if (found != m_seen.end()) {
    found->second = now;
    return false;
  }
  const HeldAddresses before = Present(now);
  m_seen[address] = now;
  ListSeen();
  return !before.may_be_more && !before.Has(address);
}

void HeldAddressTracker::ListSeen() {
  m_present.clear();
  for (const auto& [address, seen_at] : m_seen) {
    m_present.push_back(address);
  }
  std::sort(m_present.begin(), m_present.end());
}

void HeldAddressTracker::Remember(const HeldAddresses& memory, base::TimePoint now) {
  if (IsWithinFlowLifetime(now)) {
    m_remembered = SortedUnique(memory.addresses);
  }
}

HeldAddresses HeldAddressTracker::Present(base::TimePoint now) const {
  HeldAddresses held;
  std::set_union(m_present.begin(), m_present.end(), m_remembered.begin(), m_remembered.end(),
                 std::back_inserter(held.addresses));
  held.may_be_more = held.addresses.size() > HeldAddresses::kMaxAddresses ||
                     (!m_knows_all && IsWithinFlowLifetime(now));
  if (held.addresses.size() > HeldAddresses::kMaxAddresses) {
    held.addresses.resize(HeldAddresses::kMaxAddresses);
  }
  return held;
}

}  // namespace gaugevalve::placement
