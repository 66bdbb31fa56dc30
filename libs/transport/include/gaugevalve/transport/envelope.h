// The frame around every message between two nodes, as a plain value, and its codec.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/socket_address.h"

namespace gaugevalve::transport {

// What a payload is. The values are those of transport.proto.
enum class MessageKind : std::uint8_t {
  kMembership = 1,
  kDissemination = 2,
  kControl = 3,
  kRequestHandOver = 4,
};

// Number of slots for tables indexed by MessageKind.
inline constexpr std::size_t kMessageKindSlots = 5;

// Returns the name used in metrics, such as "membership".
std::string_view MessageKindName(MessageKind kind);

// The protocol versions a node speaks, both ends included.
struct ProtocolVersionRange {
  std::uint32_t minimum = 1;
  std::uint32_t maximum = 1;

  friend bool operator==(const ProtocolVersionRange&, const ProtocolVersionRange&) = default;
};

// Returns the newest version both ranges hold; nothing when they share none.
std::optional<std::uint32_t> NegotiateProtocolVersion(const ProtocolVersionRange& ours,
                                                      const ProtocolVersionRange& theirs);

// Who sends. It goes into every envelope, so a receiver can answer a node it doesn't know yet.
struct SenderIdentity {
  base::NodeId node;
  base::Incarnation incarnation;
  base::SocketAddress control_address;
  ProtocolVersionRange versions;

  friend bool operator==(const SenderIdentity&, const SenderIdentity&) = default;
};

// One message between two nodes.
struct Envelope {
  SenderIdentity sender;
  MessageKind kind = MessageKind::kMembership;
  std::string payload;  // encoded by the library that owns the kind

  friend bool operator==(const Envelope&, const Envelope&) = default;
};

// Returns the bytes that go on the wire.
std::string EncodeEnvelope(const Envelope& envelope);

// Returns the envelope in `bytes`. Nothing when they are malformed: not parseable, an unknown
// kind, an address of odd length, a port of 0 or above 65535, or an empty version range.
std::optional<Envelope> DecodeEnvelope(std::string_view bytes);

}  // namespace gaugevalve::transport
