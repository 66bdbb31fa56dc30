// Options of the membership protocol. Every node of a deployment must use the same values.
#pragma once

#include <cstddef>
#include <vector>

#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/base/time.h"

namespace gaugevalve::membership {

// Faults that can be injected to show that the proofs detect them. Never set in production.
struct InjectedFaults {
  bool never_refute = false;
  bool accept_older_incarnations = false;
  bool trust_any_group_base = false;
  bool ignore_byte_budget = false;
};

struct MembershipOptions {
  // Control addresses to join through; the node's own address is skipped. If no other is listed,
  // the node starts a new group.
  std::vector<base::SocketAddress> seeds = {};

  // Failure detection. A target is pinged directly, then through relays, and then suspected.
  base::Duration probe_interval = std::chrono::milliseconds(400);
  base::Duration direct_timeout = std::chrono::milliseconds(200);
  base::Duration probe_timeout =
      std::chrono::milliseconds(600);  // total, including the indirect probes
  std::size_t relays = 3;
  // Minimum length of a suspicion, in probe intervals, per log10 of the number of members.
  double suspicion_intervals = 0.8;
  // A suspicion that no other member confirms lasts this many times the minimum.
  double unconfirmed_suspicion_factor = 3.0;

  // Limit on the bytes that a joined node sends in any one second, envelopes included.
  // Acknowledgements and the announcement of leaving are sent even beyond the limit. The reserve is
  // available to probes and acknowledgements only.
  std::size_t bytes_per_second = 5000;
  std::size_t reserved_bytes_per_second = 1500;

  // Dissemination of updates.
  base::Duration gossip_interval = std::chrono::milliseconds(150);
  std::size_t gossip_fan_out = 3;
  std::size_t gossip_peers = 12;  // kept for some time, so that connections are reused
  base::Duration gossip_peer_change_interval = std::chrono::seconds(30);
  double retransmit_factor = 3.0;  // transmissions of an update = factor * log10(members)
  std::size_t update_bytes_per_message = 700;
  // A group summary replaces the fingerprints of the members it covers if it costs at most this
  // many bytes per member. The default is the size of a fingerprint. 0 disables summaries.
  double summary_bytes_per_member = 4;
  double update_bytes_per_second = 2000;  // over all messages
  double update_burst_bytes = 2000;

  // Anti-entropy repair.
  base::Duration anti_entropy_interval = std::chrono::seconds(30);
  base::Duration quick_offer_interval =
      std::chrono::seconds(2);  // minimum time between comparisons after a digest mismatch
  base::Duration seed_check_interval = std::chrono::seconds(30);
  base::Duration heal_interval = std::chrono::seconds(5);  // between pings of dead members
  base::Duration fast_heal_interval =
      std::chrono::milliseconds(500);  // used for a while after a dead member has answered
  base::Duration join_timeout = std::chrono::seconds(1);  // per page
  std::size_t page_bytes = 2500;                          // fewer if the byte budget allows fewer
  double pages_per_second = 50;                           // served to joining nodes

  // Memory limits. If the table is full, a new member replaces the one that has been dead longest.
  // If no member is dead, the new member is rejected and counted.
  std::size_t maximum_members = 8192;
  base::Duration remember_dead = std::chrono::minutes(30);

  // A gap between two ticks that exceeds this value counts as a pause of this node. It is shorter
  // than the time in which others can declare the node dead, so a node that may have been declared
  // dead always detects its pause.
  base::Duration pause_threshold = std::chrono::seconds(1);

  InjectedFaults faults = {};
};

}  // namespace gaugevalve::membership
