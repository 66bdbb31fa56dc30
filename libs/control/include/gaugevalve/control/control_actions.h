// Actions that a control node requests from its owner.
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

// Events for the log.
enum class ControlEventKind : std::uint8_t {
  kSettingsActivated = 0,  // number: the revision
  kSettingsRefused = 1,    // number: the revision; detail: the findings
  kStoreUnreadable = 2,    // detail: why the data in the store could not be used
  kRosterPublished = 3,    // number: the epoch; detail: how many members
  kTablePublished = 4,     // number: the service; detail: the version
  kRecordMalformed = 5,    // detail: the record or the decoding error
};

// Returns the name of the event in logs, such as "settings_activated".
std::string_view ControlEventName(ControlEventKind kind);

struct ControlEvent {
  ControlEventKind kind = ControlEventKind::kSettingsActivated;
  std::uint64_t number = 0;
  std::string detail;
};

// Each call of the node appends to these lists; entries must be performed in their order.
struct ControlActions {
  std::vector<OutgoingEnvelope> envelopes;
  // For the log; the node has already handled them.
  std::vector<membership::MembershipEvent> member_events;
  std::vector<ControlEvent> events;
  // To be run on the store. The node must be given the answer, or told that it was lost.
  std::optional<settings::StoreTransaction> store_transaction;
  std::shared_ptr<const NodeView> view;  // the newest view if it changed; otherwise null
};

}  // namespace gaugevalve::control
