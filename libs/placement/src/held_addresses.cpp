#include "gaugevalve/placement/held_addresses.h"

#include <algorithm>
#include <iterator>

namespace gaugevalve::placement {
namespace {

std::vector<base::SocketAddress> SortedOnce(std::span<const base::SocketAddress> addresses) {
  std::vector<base::SocketAddress> sorted(addresses.begin(), addresses.end());
  std::sort(sorted.begin(), sorted.end());
  sorted.erase(std::unique(sorted.begin(), sorted.end()), sorted.end());
  return sorted;
}

}  // namespace

bool HeldAddresses::Has(const base::SocketAddress& address) const {
  return std::binary_search(addresses.begin(), addresses.end(), address);
}

bool HeldAddressTracker::IsYoung(base::TimePoint now) const {
  return !m_has_started || now - m_started_at <= m_flow_lifetime;
}

void HeldAddressTracker::Take(std::span<const base::SocketAddress> present, base::TimePoint now) {
  if (!m_has_started) {
    m_has_started = true;
    m_started_at = now;
  }
  m_present = SortedOnce(present);
  if (!IsYoung(now)) {
    m_remembered.clear();
  }
}

void HeldAddressTracker::Remember(const HeldAddresses& memory, base::TimePoint now) {
  if (IsYoung(now)) {
    m_remembered = SortedOnce(memory.addresses);
  }
}

HeldAddresses HeldAddressTracker::Present(base::TimePoint now) const {
  HeldAddresses held;
  std::set_union(m_present.begin(), m_present.end(), m_remembered.begin(), m_remembered.end(),
                 std::back_inserter(held.addresses));
  held.may_be_more =
      held.addresses.size() > HeldAddresses::kMaxAddresses || (!m_knows_all && IsYoung(now));
  if (held.addresses.size() > HeldAddresses::kMaxAddresses) {
    held.addresses.resize(HeldAddresses::kMaxAddresses);
  }
  return held;
}

}  // namespace gaugevalve::placement
