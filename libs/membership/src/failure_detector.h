// Probes of the members this node watches, and help with the probes of others.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>

#include "absl/container/btree_map.h"
#include "gaugevalve/membership/membership.h"
#include "gaugevalve/membership/membership.pb.h"
#include "gaugevalve/membership/membership_options.h"
#include "gaugevalve/transport/envelope.h"
#include "local_health.h"
#include "outbox.h"
#include "peer_selector.h"
#include "probe_rings.h"

namespace gaugevalve::membership {

// SWIM's probe: a ping, then pings through relays, then the expired that the member is suspect. A
// ping names its target, so a successor at a recycled address doesn't answer for it.
class FailureDetector {
 public:
  // Called with a member that answered neither the ping nor a relay's.
  using FailureListener = std::function<void(const Member&)>;

  FailureDetector(base::NodeId self, const MembershipOptions& options, const MemberTable& table,
                  const ProximityClassifier& classifier, const PeerSelector& selector,
                  Outbox& outbox, LocalHealth& health, MembershipCounters& counters,
                  FailureListener listener);

  // Sets when the first probe is due.
  void Start(base::TimePoint first_probe) { next_probe_at_ = first_probe; }

  // Notes that what is known of a member has changed.
  void OnMemberChanged(const Member& member);

  // Probes a newly suspected member at once if this node watches it, to confirm or to clear.
  void OnSuspected(const Member& member, base::TimePoint now);

  // Gives up all that runs: answers may have been missed.
  void OnPause(base::TimePoint now);

  void OnPing(const transport::SenderIdentity& sender, const proto::Ping& ping);
  void OnIndirectPing(const transport::SenderIdentity& sender, const proto::IndirectPing& request,
                      base::TimePoint now);
  void OnAck(const proto::Ack& ack);
  void OnNack(const proto::Nack& nack);

  // Sends a ping whose answer decides nothing: to a member taken for dead.
  void PingForReconnect(const Member& member);

  void OnTick(base::TimePoint now);
  base::TimePoint NextWakeUp() const;

 private:
  // A probe of this node's own.
  struct Probe {
    base::NodeId target;
    base::TimePoint relay_at;
    base::TimePoint fail_at;
    bool is_relayed = false;
    bool received_nack = false;  // one said that it has no answer either
  };

  // A ping sent for another node.
  struct Relay {
    base::NodeId target;
    base::SocketAddress requester;
    std::uint32_t requester_sequence = 0;
    base::TimePoint expires_at;
  };

  // Most of each kept at a time; beyond, no new ones are started.
  static constexpr std::size_t kMaximumProbes = 32;
  static constexpr std::size_t kMaximumRelays = 64;

  void StartProbe(const Member& member, base::TimePoint now);
  bool IsProbing(base::NodeId node) const;
  void SendIndirectPings(std::uint32_t sequence, const Probe& probe);
  void AdvanceProbes(base::TimePoint now);
  void OnProbeFailed(const Probe& probe, base::TimePoint now);
  void ExpireRelays(base::TimePoint now);

  base::NodeId self_;
  const MembershipOptions& options_;
  const MemberTable& table_;
  const ProximityClassifier& classifier_;
  const PeerSelector& selector_;
  Outbox& outbox_;
  LocalHealth& health_;
  MembershipCounters& counters_;
  FailureListener listener_;
  ProbeRings rings_;
  absl::btree_map<std::uint32_t, Probe> probes_;  // by sequence
  absl::btree_map<std::uint32_t, Relay> relays_;  // by sequence
  std::uint32_t last_sequence_ = 0;
  base::TimePoint next_probe_at_{};
};

}  // namespace gaugevalve::membership
