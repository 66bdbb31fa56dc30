/// @file
/// Virtual addresses of the flows that an agent's endpoint holds.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <span>
#include <vector>

#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/base/time.h"

namespace gaugevalve::placement {

/// Virtual addresses of the flows that an endpoint holds, as reported by its agent. A route may
/// drop a service whose endpoints continue to serve their flows. A balancer that starts afterwards
/// knows only current routes; with this list it also asks the agents of such services.
struct HeldAddresses {
  /// The list is part of each report, with 8 bytes for each address. Endpoints serve one to three
  /// addresses.
  static constexpr std::size_t kMaxAddresses = 16;

  std::vector<base::SocketAddress> addresses;  ///< sorted, without duplicates
  /// Whether the endpoint may hold flows of other addresses, either because its agent has started
  /// later and doesn't know them, or because there are more than kMaxAddresses.
  bool may_be_more = false;

  /// Returns whether `address` is in the list.
  bool Has(const base::SocketAddress& address) const;

  friend bool operator==(const HeldAddresses&, const HeldAddresses&) = default;
};

/// Maintains HeldAddresses over time: the addresses that the agent sees and, for the maximum
/// lifetime of a flow, those known to its previous incarnation. Not thread-safe.
class HeldAddressTracker {
 public:
  /// @param flow_lifetime  maximum age of a flow
  /// @param knows_all  whether the endpoint held no flow when the agent started
  HeldAddressTracker(base::Duration flow_lifetime, bool knows_all)
      : m_flow_lifetime(flow_lifetime), m_knows_all(knows_all) {}

  /// Time for which an address stays listed after its last flow, so that an address whose flows are
  /// short is not new with each of them.
  static constexpr base::Duration kRetention = std::chrono::seconds(10);

  /// Sets the addresses of all flows that the agent knows, in any order. The first call marks the
  /// agent's start.
  void Take(std::span<const base::SocketAddress> present, base::TimePoint now);

  /// Adds the address of a flow that the endpoint is about to hold.
  /// @return  whether balancers must be told now: their newest report says that the endpoint holds
  ///          no flow of this address
  bool Add(const base::SocketAddress& address, base::TimePoint now);

  /// Restores the addresses in the last report of the agent's previous incarnation. That
  /// incarnation may have seen more addresses after this report, so the result may still be
  /// incomplete.
  void Remember(const HeldAddresses& memory, base::TimePoint now);

  HeldAddresses Present(base::TimePoint now) const;

 private:
  bool IsWithinFlowLifetime(base::TimePoint now) const;
  void ListSeen();

  base::Duration m_flow_lifetime;
  bool m_knows_all;
  bool m_has_started = false;
  base::TimePoint m_started_at{};
  absl::flat_hash_map<base::SocketAddress, base::TimePoint> m_seen;  // when it last had a flow
  std::vector<base::SocketAddress> m_present;                        // sorted, without duplicates
  std::vector<base::SocketAddress> m_remembered;                     // sorted, without duplicates
};

}  // namespace gaugevalve::placement
