/// @file
/// The header that balancers and agents put before each packet they pass to each other. Fixed
/// layout, little-endian: it is read for every packet of the data path.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "gaugevalve/base/identifiers.h"

namespace gaugevalve::placement {

/// What follows a header.
enum class MessageKind : std::uint8_t {
  kForward = 1,   ///< a client's packet for the endpoint beside the agent
  kReturned = 2,  ///< the same packet, which the agent or its endpoint didn't take
  kHolding = 3,   ///< head of a packet of a flow that the agent's endpoint was seen to hold
  kControl = 4,   ///< a NodeMessage (protobuf)
};

/// Why an agent returned a packet.
enum class ReturnReason : std::uint8_t {
  kNone = 0,
  kNotHeld = 1,       ///< the endpoint doesn't hold the flow or can't take a new one
  kNotAdmitting = 2,  ///< the endpoint is leaving, silent or unknown
  kBusy = 3,          ///< all slots are in use; another endpoint may be free
  kOtherService = 4,  ///< the endpoint belongs to another service
};

inline constexpr std::size_t kReturnReasonCount =
    static_cast<std::size_t>(ReturnReason::kOtherService) + 1;

/// Returns the reason's name for logs and metrics.
const char* ReturnReasonName(ReturnReason reason);

struct ForwardHeader {
  static constexpr std::size_t kSize = 16;

  MessageKind kind = MessageKind::kForward;
  bool is_search = false;    ///< the balancer doesn't know the owner: tell it if it is you
  bool must_accept = false;  ///< no endpoint is free: take the opening packet in spite of the load
  std::uint8_t attempt = 0;  ///< how often this packet has been passed on
  ReturnReason reason = ReturnReason::kNone;
  base::ServiceId service;
  std::uint64_t routes_version = 0;  ///< of the balancer's route table

  friend bool operator==(const ForwardHeader&, const ForwardHeader&) = default;
};

/// Returns the header's bytes.
std::array<std::uint8_t, ForwardHeader::kSize> EncodeForwardHeader(const ForwardHeader& header);

/// Returns the header at the start of `datagram`, or nothing when it is too short or malformed.
std::optional<ForwardHeader> DecodeForwardHeader(std::span<const std::uint8_t> datagram);

}  // namespace gaugevalve::placement
