/// @file
/// The virtual addresses of the flows that an agent's endpoint holds.
#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/base/time.h"

namespace gaugevalve::placement {

/// What an agent says of the addresses whose flows its endpoint holds. A route may drop a service
/// whose endpoints go on with the flows that they hold, and a balancer that starts afterwards knows
/// present routes only: it asks these agents as well.
struct HeldAddresses {
  /// Each report carries the list, with 8 bytes an address. Endpoints stand behind one to three.
  static constexpr std::size_t kMaxAddresses = 16;

  std::vector<base::SocketAddress> addresses;  ///< sorted, each once
  /// Whether the endpoint may hold flows of other addresses: its agent has started beside it and
  /// doesn't know, or there are more than kMaxAddresses.
  bool may_be_more = false;

  /// Returns whether flows of `address` are among those that are known.
  bool Has(const base::SocketAddress& address) const;

  friend bool operator==(const HeldAddresses&, const HeldAddresses&) = default;
};

/// An agent's account of HeldAddresses over time: what it sees itself, and, for as long as a flow
/// may live, what its former life knew. Not thread-safe.
class HeldAddressTracker {
 public:
  /// @param flow_lifetime  no flow is older
  /// @param knows_all  whether the endpoint held no flow when the agent started
  HeldAddressTracker(base::Duration flow_lifetime, bool knows_all)
      : m_flow_lifetime(flow_lifetime), m_knows_all(knows_all) {}

  /// Takes the addresses of all flows that the agent knows now, in any order. The first call counts
  /// as the agent's start.
  void Take(std::span<const base::SocketAddress> present, base::TimePoint now);

  /// Takes what the agent's former life said last. What happened between that and its end isn't
  /// known, so there may be more all the same.
  void Remember(const HeldAddresses& memory, base::TimePoint now);

  HeldAddresses Present(base::TimePoint now) const;

 private:
  bool IsYoung(base::TimePoint now) const;

  base::Duration m_flow_lifetime;
  bool m_knows_all;
  bool m_has_started = false;
  base::TimePoint m_started_at{};
  std::vector<base::SocketAddress> m_present;     // sorted, each once
  std::vector<base::SocketAddress> m_remembered;  // likewise
};

}  // namespace gaugevalve::placement
