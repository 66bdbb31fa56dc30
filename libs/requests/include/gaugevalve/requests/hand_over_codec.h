// The bytes of messages between agents about requests, and the checks on hand-overs.
#pragma once

#include <optional>
#include <string_view>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/requests/hand_over_id.h"
#include "gaugevalve/requests/request_outcome.h"
#include "gaugevalve/requests/requests.pb.h"

namespace gaugevalve::requests {

// Returns the message in `bytes`; nothing when they are malformed or a hand-over in them fails
// IsWellFormed().
std::optional<proto::AtMostOnceMessage> DecodePeerMessage(std::string_view bytes);

// Returns whether the message is one that an agent may send: every part that its kind needs, sizes
// and numbers within the bounds of HandOverLimits and of HTTP, no control character in a head, and
// exactly one hop.
bool IsWellFormed(const proto::HandOverMessage& message);

// Returns whether the head of a request can be offered: its size and characters.
bool IsWellFormed(const proto::HandOverRequestHead& head);

// Returns whether the head of an answer can be passed back.
bool IsWellFormed(const proto::HandOverAnswerHead& head);

void EncodeHandOverId(const HandOverId& id, proto::HandOverId* message);
HandOverId DecodeHandOverId(const proto::HandOverId& message);

proto::HandOverRefusal EncodeRefusal(const Refusal& refusal);

// The message must be well-formed.
Refusal DecodeRefusal(const proto::HandOverRefusal& message);

}  // namespace gaugevalve::requests
