/// @file
/// Messages from the data task to other agents, on their way through the control task.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/tasks/inbox.h"
#include "gaugevalve/transport/peer_transport.h"

namespace gaugevalve::agent {

/// A message to another agent.
struct OutgoingPeerMessage {
  base::NodeId destination;
  std::string payload;
  transport::TrafficClass traffic = transport::TrafficClass::kControl;
};

/// One queue for each traffic class, as in the transport: frames of bodies leave room for
/// heartbeats and acknowledgements. A message that finds its queue full is dropped; senders repeat
/// it.
class PeerOutbox {
 public:
  using Handler = std::function<void(const OutgoingPeerMessage&)>;

  /// `handler` is called in the thread of `loop`. `capacity` in messages, of each queue.
  PeerOutbox(event_base* loop, std::size_t capacity, const Handler& handler)
      : m_control(loop, capacity, handler), m_bulk(loop, capacity, handler) {}

  /// Queues the message. Any thread.
  void Send(OutgoingPeerMessage message) {
    const bool is_bulk = message.traffic == transport::TrafficClass::kBulk;
    (is_bulk ? m_bulk : m_control).TrySend(std::move(message));
  }

  /// Returns how many messages were dropped. Any thread.
  std::uint64_t RefusedCount() const { return m_control.RefusedCount() + m_bulk.RefusedCount(); }

 private:
  tasks::Inbox<OutgoingPeerMessage> m_control;
  tasks::Inbox<OutgoingPeerMessage> m_bulk;
};

}  // namespace gaugevalve::agent
