// What a control node asks its owner to do.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/control/node_view.h"
#include "gaugevalve/membership/membership_actions.h"
#include "gaugevalve/settings/store_transaction.h"
#include "gaugevalve/transport/envelope.h"

namespace gaugevalve::control {

// A message for a node's control address.
struct OutgoingEnvelope {
  base::SocketAddress destination;
  transport::MessageKind kind = transport::MessageKind::kControl;
  std::string payload;
};

// Something worth a line in the log.
enum class ControlEventKind : std::uint8_t {
  kSettingsActivated = 0,  // number: the revision
  kSettingsRefused = 1,    // number: the revision; detail: the findings
  kStoreUnreadable = 2,    // detail: why what the store holds could not be used
  kRosterPublished = 3,    // number: the epoch; detail: how many members
  kTablePublished = 4,     // number: the service; detail: the version
  kRecordMalformed = 5,    // detail: which
};

// Returns the event's name in logs, such as "settings_activated".
std::string_view ControlEventName(ControlEventKind kind);

struct ControlEvent {
  ControlEventKind kind = ControlEventKind::kSettingsActivated;
  std::uint64_t number = 0;
  std::string detail;
};

// Appended to by each call of the node, in the order in which they are to be done.
struct ControlActions {
  std::vector<OutgoingEnvelope> envelopes;
  std::vector<membership::MembershipEvent> member_events;  // for the log; already taken in
  std::vector<ControlEvent> events;
  // To be run on the store; the node must be told the answer, or that it is lost.
  std::optional<settings::StoreTransaction> store_transaction;
  std::shared_ptr<const NodeView> view;  // the newest, when it changed; otherwise null
};

}  // namespace gaugevalve::control
