/// @file
/// The balancers that a node knows, with the time each was last heard of by anybody.
#pragma once

#include <map>
#include <span>
#include <vector>

#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/base/time.h"

namespace gaugevalve::placement {

/// A balancer that somebody heard `age` ago.
struct BalancerAge {
  base::SocketAddress address;
  base::Duration age{0};
};

/// Grown from seeds and from what peers tell; a balancer that nobody has heard for a while is
/// forgotten, unless it is a seed. Not thread-safe.
class BalancerList {
 public:
  /// @param self  is never listed
  /// @param alive_timeout  a balancer counts as alive this long after it was heard, at least;
  /// longer
  ///                   where many are known, as news of each come less often
  BalancerList(const base::SocketAddress& self, base::Duration alive_timeout)
      : m_self(self), m_alive_timeout(alive_timeout) {}

  /// Sets the addresses that are asked for as long as nobody else answers.
  void SetSeeds(std::vector<base::SocketAddress> seeds) { m_seeds = std::move(seeds); }

  /// Notes that `address` was heard `age` ago.
  /// @return  whether it wasn't known as alive before
  bool Note(const base::SocketAddress& address, base::Duration age, base::TimePoint now);

  /// Returns those to write to: all that are known, and the seeds while fewer than `enough` others
  /// are alive.
  std::vector<base::SocketAddress> Targets(std::size_t enough, base::TimePoint now) const;

  /// Returns those alive, with their ages.
  std::vector<BalancerAge> Alive(base::TimePoint now) const;

  /// Drops what nobody has heard for `silence`.
  void ForgetSilent(base::Duration silence, base::TimePoint now);

 private:
  base::Duration AliveTimeout() const;

  base::SocketAddress m_self;
  base::Duration m_alive_timeout;
  std::vector<base::SocketAddress> m_seeds;
  // In order: draws from the list are the same for the same random numbers.
  std::map<base::SocketAddress, base::TimePoint> m_heard_at;
};

}  // namespace gaugevalve::placement
