// Encoding and validation of the messages between agents about requests.
#pragma once

#include <optional>
#include <string_view>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/requests/hand_over_id.h"
#include "gaugevalve/requests/request_outcome.h"
#include "gaugevalve/requests/requests.pb.h"

namespace gaugevalve::requests {

// Returns the message in `bytes`; nothing if they are malformed or contain a hand-over that fails
// IsWellFormed().
std::optional<proto::AtMostOnceMessage> DecodePeerMessage(std::string_view bytes);

// Returns whether an agent may send this message: all parts that its kind requires are present,
// sizes and numbers are within the bounds of HandOverLimits and HTTP, heads contain no control
// characters, and the hop count is 1.
bool IsWellFormed(const proto::HandOverMessage& message);

// Returns whether the message is a frame. Frames must not overtake each other; other messages may
// overtake them.
bool IsFrame(const proto::HandOverMessage& message);

// Returns whether the size and the characters of a request head allow it to be offered.
bool IsWellFormed(const proto::HandOverRequestHead& head);

// Returns whether an answer head can be sent back to the origin.
bool IsWellFormed(const proto::HandOverAnswerHead& head);

void EncodeHandOverId(const HandOverId& id, proto::HandOverId* message);
HandOverId DecodeHandOverId(const proto::HandOverId& message);

proto::HandOverRefusal EncodeRefusal(const Refusal& refusal);

// The message must be well-formed.
Refusal DecodeRefusal(const proto::HandOverRefusal& message);

}  // namespace gaugevalve::requests
