#include "gaugevalve/placement/configuration_replica.h"

#include <algorithm>

#include "gaugevalve/base/hash.h"
#include "gaugevalve/placement/flow_hash.h"

namespace gaugevalve::placement {
namespace {

constexpr char kDuty[] = "configuration replica";

double UniformRank(const base::SocketAddress& self) {
  constexpr double kRange = 18446744073709551616.0;  // 2^64
  const std::uint64_t hash = base::HashPair(base::HashText(kDuty), AddressHash(self));
  return static_cast<double>(hash) / kRange;
}

}  // namespace

ConfigurationReplica::ConfigurationReplica(const base::SocketAddress& self)
    : m_rank(UniformRank(self)) {}

bool ConfigurationReplica::NoteAgentCount(std::size_t agents) {
  m_is_chosen = agents > 0 && m_rank * static_cast<double>(agents) < static_cast<double>(kReplicas);
  const bool is_dropped = !m_is_chosen && m_version != 0;
  if (is_dropped) {
    m_version = 0;
  }
  return is_dropped;
}

void ConfigurationOffers::Note(const base::SocketAddress& agent, std::uint64_t version,
                               std::uint64_t in_force, base::TimePoint now) {
  DropOutdated(in_force);
  if (version <= in_force) {
    return;
  }
  if (m_offers.empty()) {
    m_first_noted_at = now;
  }
  std::erase_if(m_offers, [&](const Offer& offer) { return offer.agent == agent; });
  const auto place = std::find_if(m_offers.begin(), m_offers.end(), [version](const Offer& offer) {
    return offer.version < version;
  });
  m_offers.insert(place, {agent, version});
  m_offers.resize(std::min(m_offers.size(), kMaxOffers));
}

std::optional<base::SocketAddress> ConfigurationOffers::TakeBest(std::uint64_t in_force,
                                                                 base::TimePoint now) {
  DropOutdated(in_force);
  if (m_offers.empty() || now - m_first_noted_at < kCompareTime) {
    return std::nullopt;
  }
  const base::SocketAddress best = m_offers.front().agent;
  m_offers.erase(m_offers.begin());
  return best;
}

void ConfigurationOffers::DropOutdated(std::uint64_t in_force) {
  std::erase_if(m_offers, [in_force](const Offer& offer) { return offer.version <= in_force; });
}

}  // namespace gaugevalve::placement
