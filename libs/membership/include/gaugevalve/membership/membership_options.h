// How a node takes part in the membership group. Every node of a deployment uses the same values.
#pragma once

#include <cstddef>
#include <vector>

#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/base/time.h"

namespace gaugevalve::membership {

// Deliberate faults, by which the proofs show that they would notice. Never set in production.
struct InjectedFaults {
  bool never_refute = false;
  bool accept_older_incarnations = false;
  bool trust_any_group_base = false;
  bool ignore_byte_budget = false;
};

struct MembershipOptions {
  // Control addresses to join by; the node's own is skipped. With no other the node starts a group.
  std::vector<base::SocketAddress> seeds = {};

  // Failure detection. A target is asked directly, then through relays, then suspected.
  base::Duration probe_interval = std::chrono::milliseconds(400);
  base::Duration direct_timeout = std::chrono::milliseconds(200);
  base::Duration probe_timeout = std::chrono::milliseconds(600);  // in all, with the relays
  std::size_t relays = 3;
  // The shortest suspicion lasts this many probe intervals times log10 of the members.
  double suspicion_intervals = 0.8;
  // Without confirmation by others a suspicion lasts this many times longer.
  double unconfirmed_suspicion_factor = 3.0;

  // What a node in service sends in any second, envelopes included; acknowledgements and a farewell
  // aren't held back by it. The reserve is kept for probes and acknowledgements.
  std::size_t bytes_per_second = 5000;
  std::size_t reserved_bytes_per_second = 1500;

  // Spreading of updates.
  base::Duration gossip_interval = std::chrono::milliseconds(150);
  std::size_t gossip_fan_out = 3;
  std::size_t gossip_peers = 12;  // kept for a while, so that connections last
  base::Duration gossip_peer_change_interval = std::chrono::seconds(30);
  double retransmit_factor = 3.0;  // sends of an update = factor times log10 of the members
  std::size_t update_bytes_per_message = 700;
  // A summary of a group goes out in place of a fingerprint for each member when it takes at most
  // so many bytes for each one named: as many as a fingerprint. 0: never.
  double summary_bytes_per_member = 4;
  double update_bytes_per_second = 2000;  // over all messages
  double update_burst_bytes = 2000;

  // Repair.
  base::Duration anti_entropy_interval = std::chrono::seconds(30);
  base::Duration quick_offer_interval = std::chrono::seconds(2);  // at least, between comparisons
  base::Duration seed_check_interval = std::chrono::seconds(30);
  base::Duration heal_interval = std::chrono::seconds(5);  // between tries of a dead member
  base::Duration fast_heal_interval = std::chrono::milliseconds(500);  // after one has answered
  base::Duration join_timeout = std::chrono::seconds(1);               // for each page
  std::size_t page_bytes = 2500;  // less when the byte budget has less
  double pages_per_second = 50;   // served to joining nodes

  // Memory. When the table is full, the member dead for longest is forgotten for a new one; with
  // none dead, the new one is not taken in and counted.
  std::size_t maximum_members = 8192;
  base::Duration remember_dead = std::chrono::minutes(30);

  // A node whose clock jumps by more than this between two ticks was paused. Less than the time in
  // which others can declare it dead, so that a node which may have been is told of its pause.
  base::Duration pause_threshold = std::chrono::seconds(1);

  InjectedFaults faults = {};
};

}  // namespace gaugevalve::membership
