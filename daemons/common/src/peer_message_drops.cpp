#include "gaugevalve/daemon/peer_message_drops.h"

#include <algorithm>

#include "gaugevalve/telemetry/event.h"

namespace gaugevalve::daemon {
namespace {

constexpr base::Duration kLogInterval = std::chrono::seconds(1);

}  // namespace

std::string_view ToString(PeerMessageDrop drop) {
  switch (drop) {
    case PeerMessageDrop::kOutboxFull:
      return "outbox_full";
    case PeerMessageDrop::kUnknownMember:
      return "unknown_member";
    case PeerMessageDrop::kQueueFull:
      return "queue_full";
    case PeerMessageDrop::kOverBudget:
      return "over_budget";
    case PeerMessageDrop::kTooLarge:
      return "too_large";
    case PeerMessageDrop::kNoSocket:
      return "no_socket";
    case PeerMessageDrop::kInboxFull:
      return "inbox_full";
  }
  return "unknown";
}

PeerMessageDrops::PeerMessageDrops(prometheus::Registry& registry)
    : m_counters(registry, "gaugevalve_peer_messages_dropped_total",
                 "Messages between nodes that this node dropped, by reason.",
                 ReasonNames<PeerMessageDrop>(kPeerMessageDropCount)) {}

void PeerMessageDrops::Record(PeerMessageDrop drop, std::uint64_t count,
                              std::optional<base::NodeId> peer, base::TimePoint now) {
  for (std::uint64_t message = 0; message < count; ++message) {
    m_counters.Add(drop);
  }
  m_counters.Publish();
  Unlogged& unlogged = m_unlogged.at(static_cast<std::size_t>(drop));
  unlogged.count += count;
  if (peer) {
    unlogged.by_peer[*peer] += count;
  }
  if (unlogged.count > 0 && now - unlogged.logged_at >= kLogInterval) {
    Log(drop, unlogged);
    unlogged = Unlogged{0, {}, now};
  }
}

void PeerMessageDrops::Log(PeerMessageDrop drop, const Unlogged& unlogged) {
  telemetry::Event event(telemetry::Level::kWarning, "peer_messages_dropped");
  event.Field("reason", ToString(drop)).Field("count", unlogged.count);
  const auto most = std::max_element(
      unlogged.by_peer.begin(), unlogged.by_peer.end(),
      [](const auto& left, const auto& right) { return left.second < right.second; });
  if (most != unlogged.by_peer.end()) {
    event.Field("peers", unlogged.by_peer.size())
        .Field("most_peer", most->first)
        .Field("most_count", most->second);
  }
}

void PeerMessageDrops::RecordSend(transport::SendResult result, std::optional<base::NodeId> peer,
                                  base::TimePoint now) {
  switch (result) {
    case transport::SendResult::kQueued:
      return;
    case transport::SendResult::kQueueFull:
      return Record(PeerMessageDrop::kQueueFull, 1, peer, now);
    case transport::SendResult::kOverBudget:
      return Record(PeerMessageDrop::kOverBudget, 1, peer, now);
    case transport::SendResult::kTooLarge:
      return Record(PeerMessageDrop::kTooLarge, 1, peer, now);
    case transport::SendResult::kFailed:
      return Record(PeerMessageDrop::kNoSocket, 1, peer, now);
  }
}

}  // namespace gaugevalve::daemon
