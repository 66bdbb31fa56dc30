// Probes the members that this node observes and relays probes for other nodes.
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

// The SWIM probe: a direct ping, then pings through relays, then suspicion. A ping names its
// target, so a different node that reuses the address does not acknowledge it.
class FailureDetector {
 public:
  // Called with a member that acknowledged neither the direct ping nor a relayed one.
  using FailureListener = std::function<void(const Member&)>;

  FailureDetector(base::NodeId self, const MembershipOptions& options, const MemberTable& table,
                  const ProximityClassifier& classifier, const PeerSelector& selector,
                  Outbox& outbox, LocalHealth& health, MembershipCounters& counters,
                  FailureListener listener);

  // Sets the time of the first probe.
  void Start(base::TimePoint first_probe) { next_probe_at_ = first_probe; }

  // Must be called whenever the record of a member changes.
  void OnMemberChanged(const Member& member);

  // Probes a newly suspected member at once if it is one of this node's targets, to confirm or
  // refute the suspicion.
  void OnSuspected(const Member& member, base::TimePoint now);

  // Cancels all running probes after a pause of this node, because acknowledgements may have been
  // missed.
  void OnPause(base::TimePoint now);

  void OnPing(const transport::SenderIdentity& sender, const proto::Ping& ping);
  void OnIndirectPing(const transport::SenderIdentity& sender, const proto::IndirectPing& request,
                      base::TimePoint now);
  void OnAck(const proto::Ack& ack);
  void OnNack(const proto::Nack& nack);

  // Pings a member that is believed dead. The result does not affect its state; the ping gives the
  // member the chance to refute its death.
  void PingForReconnect(const Member& member);

  void OnTick(base::TimePoint now);
  base::TimePoint NextWakeUp() const;

 private:
  // A probe started by this node.
  struct Probe {
    base::NodeId target;
    base::TimePoint relay_at;
    base::TimePoint fail_at;
    bool is_relayed = false;
    bool received_nack = false;  // a relay reported that it got no acknowledgement either
  };

  // A ping sent on behalf of another node.
  struct Relay {
    base::NodeId target;
    base::SocketAddress requester;
    std::uint32_t requester_sequence = 0;
    base::TimePoint expires_at;
  };

  // Maximum number of concurrent entries; further probes and relay requests are dropped.
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
  absl::btree_map<std::uint32_t, Probe> probes_;  // by sequence number
  absl::btree_map<std::uint32_t, Relay> relays_;  // by sequence number
  std::uint32_t last_sequence_ = 0;
  base::TimePoint next_probe_at_{};
};

}  // namespace gaugevalve::membership
