#include "gaugevalve/daemon/peer_message_drops.h"

#include <utility>

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

void PeerMessageDrops::Record(PeerMessageDrop drop, std::uint64_t count, base::TimePoint now) {
  for (std::uint64_t message = 0; message < count; ++message) {
    m_counters.Add(drop);
  }
  m_counters.Publish();
  Unlogged& unlogged = m_unlogged.at(static_cast<std::size_t>(drop));
  unlogged.count += count;
  if (unlogged.count > 0 && now - unlogged.logged_at >= kLogInterval) {
    unlogged.logged_at = now;
    telemetry::Event(telemetry::Level::kWarning, "peer_messages_dropped")
        .Field("reason", ToString(drop))
        .Field("count", std::exchange(unlogged.count, 0));
  }
}

void PeerMessageDrops::RecordSend(transport::SendResult result, base::TimePoint now) {
  switch (result) {
    case transport::SendResult::kQueued:
      return;
    case transport::SendResult::kQueueFull:
      return Record(PeerMessageDrop::kQueueFull, 1, now);
    case transport::SendResult::kOverBudget:
      return Record(PeerMessageDrop::kOverBudget, 1, now);
    case transport::SendResult::kTooLarge:
      return Record(PeerMessageDrop::kTooLarge, 1, now);
    case transport::SendResult::kFailed:
      return Record(PeerMessageDrop::kNoSocket, 1, now);
  }
}

}  // namespace gaugevalve::daemon
