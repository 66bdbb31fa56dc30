/// @file
/// The balancers that a node knows, with the time of any node's last contact with each.
#pragma once

#include <map>
#include <span>
#include <vector>

#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/base/time.h"

namespace gaugevalve::placement {

/// A balancer with which some node had contact `age` ago.
struct BalancerAge {
  base::SocketAddress address;
  base::Duration age{0};
};

/// Lists balancers learned from seeds and from gossip. A balancer that no node had contact
/// with for a while is removed; seeds are kept. Not thread-safe.
class BalancerList {
 public:
  /// @param self  address of this balancer, which is never listed
  /// @param alive_timeout  a balancer counts as alive at least this long after the last contact,
  ///                       longer if many are known, because gossip then renews each less often
  BalancerList(const base::SocketAddress& self, base::Duration alive_timeout)
      : m_self(self), m_alive_timeout(alive_timeout) {}

  /// Sets the addresses that Targets() adds while too few other balancers are alive.
  void SetSeeds(std::vector<base::SocketAddress> seeds) { m_seeds = std::move(seeds); }

  /// Notes that some node had contact with `address` `age` ago.
  /// @return  whether the balancer is alive and was not listed as alive before
  bool Note(const base::SocketAddress& address, base::Duration age, base::TimePoint now);

  /// Returns the balancers to greet: all known ones, and the seeds while fewer than `enough` are
  /// alive.
  std::vector<base::SocketAddress> Targets(std::size_t enough, base::TimePoint now) const;

  /// Returns the live balancers with their ages.
  std::vector<BalancerAge> Alive(base::TimePoint now) const;

  /// Removes balancers that no node had contact with for `silence`.
  void ForgetSilent(base::Duration silence, base::TimePoint now);

 private:
  base::Duration AliveTimeout() const;

  base::SocketAddress m_self;
  base::Duration m_alive_timeout;
  std::vector<base::SocketAddress> m_seeds;
  // Ordered, so that the same random numbers draw the same balancers.
  std::map<base::SocketAddress, base::TimePoint> m_last_contact_at;
};

}  // namespace gaugevalve::placement
