#include "gaugevalve/requests/hand_over.h"

#include <algorithm>

#include "gaugevalve/requests/hand_over_codec.h"

namespace gaugevalve::requests {
namespace {

// Many times the interval at which OnTimer() is called.
constexpr base::Duration kMaxTimerGap{500'000};

// Returns the incarnation that sent the message, or nothing if the message doesn't tell. A close
// may be sent for an earlier incarnation of the origin.
std::optional<AgentIncarnation> SenderOf(base::NodeId sender,
                                         const proto::HandOverMessage& message) {
  if (message.has_close()) {
    return std::nullopt;
  }
  if (message.has_load()) {
    return AgentIncarnation{sender, base::Incarnation(message.load().incarnation())};
  }
  const HandOverId id = DecodeHandOverId(message.id());
  if (id.origin == sender) {
    return AgentIncarnation{sender, id.origin_incarnation};
  }
  return id.executor == sender ? std::optional(AgentIncarnation{sender, id.executor_incarnation})
                               : std::nullopt;
}

}  // namespace

std::string_view ToString(ExecutorLossCause cause) {
  switch (cause) {
    case ExecutorLossCause::kSilent:
      return "silent";
    case ExecutorLossCause::kRunUnknown:
      return "run-unknown";
    case ExecutorLossCause::kNewIncarnation:
      return "new-incarnation";
    case ExecutorLossCause::kInvalidAnswer:
      return "invalid-answer";
  }
  return "unknown";
}

HandOver::HandOver(base::NodeId self, base::Incarnation incarnation, const HandOverLimits& limits,
                   base::RandomSource& random)
    : self_(self),
      incarnation_(incarnation),
      limits_(limits),
      loads_(self, limits),
      liveness_(limits.peer_timeout, limits.live_peer_timeout),
      origin_(self, incarnation, limits, loads_, liveness_, random),
      executor_(self, incarnation, limits, liveness_) {}

// An agent that left the table may still finish its hand-overs; they end only when it is silent or
// a newer incarnation appears. In particular, a draining agent is no longer listed, yet it is the
// one that hands requests over.
HandOverActions HandOver::SetTable(const std::shared_ptr<const routing::BucketTable>& table,
                                   base::TimePoint now) {
  HandOverActions actions;
  table_ = table;
  loads_.SetTable(*table);
  for (const routing::AgentEntry& agent : table->agents) {
    EndOlderIncarnations({agent.node, agent.incarnation}, now, actions);
  }
  return actions;
}

HandOverActions HandOver::SetLiveAgents(const std::shared_ptr<const LiveAgents>& agents,
                                        base::TimePoint now) {
  HandOverActions actions;
  if (agents == live_agents_) {
    return actions;
  }
  live_agents_ = agents;
  liveness_.SetLiveAgents(agents);
  if (agents != nullptr) {
    for (const AgentIncarnation& agent : *agents) {
      EndOlderIncarnations(agent, now, actions);
    }
  }
  return actions;
}

void HandOver::EndOlderIncarnations(const AgentIncarnation& agent, base::TimePoint now,
                                    HandOverActions& actions) {
  if (agent.node != self_) {
    origin_.OnNewIncarnation(agent.node, agent.incarnation, now, actions);
    executor_.OnNewIncarnation(agent.node, agent.incarnation, actions);
  }
}

HandOverActions HandOver::OnMessage(base::NodeId sender, const proto::HandOverMessage& message,
                                    base::TimePoint now) {
  HandOverActions actions;
  if (!IsWellFormed(message)) {
    return actions;
  }
  const auto agent = SenderOf(sender, message);
  if (agent && limits_.mechanisms.agent_liveness) {
    liveness_.NoteMessage(*agent, now);
  }
  switch (message.body_case()) {
    case proto::HandOverMessage::kLoad:
      if (base::NodeId(message.load().node()) == sender) {
        loads_.Update(message.load(), now);
      }
      break;
    case proto::HandOverMessage::kOffer:
    case proto::HandOverMessage::kRequestFrame:
    case proto::HandOverMessage::kAnswerAcknowledgement:
    case proto::HandOverMessage::kClose:
      executor_.OnMessage(sender, message, now, actions);
      break;
    default:
      origin_.OnMessage(sender, message, now, actions);
  }
  return actions;
}

HandOverActions HandOver::OnTimer(const LocalLoad& load, base::TimePoint now) {
  HandOverActions actions;
  DetectPause(now);
  origin_.OnTimer(now, actions);
  executor_.OnTimer(now, actions);
  liveness_.ForgetLost(now);
  const bool has_changed = load.takes_requests != announced_takes_requests_;
  if (table_ != nullptr && (now >= announce_at_ || has_changed)) {
    announce_at_ = now + limits_.load_interval;
    announced_takes_requests_ = load.takes_requests;
    Announce(load, actions);
  }
  return actions;
}

void HandOver::DetectPause(base::TimePoint now) {
  const base::Duration gap = timer_called_at_ ? now - *timer_called_at_ : base::Duration(0);
  timer_called_at_ = now;
  if (gap > kMaxTimerGap) {
    liveness_.SkipPause(gap, now);
    origin_.SkipPause(gap, now);
    executor_.SkipPause(gap, now);
  }
}

void HandOver::Announce(const LocalLoad& load, HandOverActions& actions) {
  const std::vector<routing::AgentEntry>& agents = table_->agents;
  const std::size_t count = std::min(agents.size(), limits_.announced_peers + 1);
  for (std::size_t sent = 0; sent < count; ++sent) {
    const base::NodeId node = agents[next_announced_ % agents.size()].node;
    ++next_announced_;
    if (node == self_) {
      continue;
    }
    actions.send.push_back({node, {}});
    proto::HandOverLoad* const message =
        actions.send.back().message.mutable_hand_over()->mutable_load();
    message->set_node(self_.value());
    message->set_incarnation(incarnation_.value());
    message->set_free_slots(load.free_slots);
    message->set_queue_room(load.queue_room);
    message->set_takes_requests(load.takes_requests);
  }
}

}  // namespace gaugevalve::requests
