/// @file
/// The header that balancers and agents put before each packet they pass to each other. Fixed
/// layout, little-endian: it is read for every packet of the data path.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/placement/request_class.h"

namespace gaugevalve::placement {

/// What follows a header.
enum class MessageKind : std::uint8_t {
  kForward = 1,       ///< a client's packet for the endpoint beside the agent
  kReturned = 2,      ///< the same packet, which the agent or its endpoint didn't take
  kHolderNotice = 3,  ///< head of a packet of a flow that the agent's endpoint was seen to hold
  kControl = 4,       ///< a NodeMessage (protobuf)
  kLoad = 5,          ///< a LoadNotice
};

/// Why an agent returned a packet.
enum class ReturnReason : std::uint8_t {
  kNone = 0,
  kNotHeld = 1,       ///< the endpoint doesn't hold the flow or can't take a new one
  kNotAdmitting = 2,  ///< the endpoint is leaving, silent or unknown
  kBusy = 3,          ///< all slots are in use; another endpoint may be free
  kOtherService = 4,  ///< the endpoint belongs to another service
  kEvacuated = 5,     ///< the operator wants no new flows in the endpoint's zone
  kWarmingUp = 6,     ///< the endpoint is cold and has got what it bears in a second
};

inline constexpr std::size_t kReturnReasonCount =
    static_cast<std::size_t>(ReturnReason::kWarmingUp) + 1;

/// Returns the reason's name for logs and metrics.
const char* ReturnReasonName(ReturnReason reason);

struct ForwardHeader {
  static constexpr std::size_t kSize = 16;

  MessageKind kind = MessageKind::kForward;
  bool is_search = false;    ///< the balancer doesn't know the owner: tell it if it is you
  bool has_route = false;    ///< a SearchRoute follows
  bool must_accept = false;  ///< no endpoint is free: take the opening packet in spite of the load
  /// For must_accept in a kForward: with so many requests at the endpoint the flow would come too
  /// late, so that the opening is given back all the same; 0 for no limit, at most kLargestLimit.
  std::uint8_t busy_limit = 0;
  static constexpr std::uint8_t kLargestLimit = 127;
  std::uint8_t attempt = 0;                   ///< how often this packet has been passed on
  ReturnReason reason = ReturnReason::kNone;  ///< of a kReturned
  base::ServiceId service;
  std::uint64_t routes_version = 0;          ///< of the balancer's route table; its lower 56 bits
  std::uint8_t priority = kDefaultPriority;  ///< of a kForward's requests; see RequestClass
  std::uint8_t search_round = 0;             ///< of the flow's searches at its balancer, modulo 256

  friend bool operator==(const ForwardHeader&, const ForwardHeader&) = default;
};

/// The way of a packet whose flow's holder is searched for: agents pass it on among themselves, so
/// that a search costs its balancer one packet.
struct SearchRoute {
  static constexpr std::size_t kMaxAgents = 48;

  base::SocketAddress origin;             ///< the balancer that searches
  std::vector<base::SocketAddress> next;  ///< agents to ask after this one, in order

  friend bool operator==(const SearchRoute&, const SearchRoute&) = default;
};

/// Returns the bytes of a header and the route behind it.
std::vector<std::uint8_t> EncodeSearch(const ForwardHeader& header, const SearchRoute& route);

/// Returns the route behind a header that has one, or nothing when it is malformed.
/// @param bytes  what follows the header; the route's own bytes are taken off its front
/// @param port  the port of all nodes
std::optional<SearchRoute> DecodeSearchRoute(std::span<std::uint8_t>& bytes, std::uint16_t port);

/// Returns the header's bytes.
std::array<std::uint8_t, ForwardHeader::kSize> EncodeForwardHeader(const ForwardHeader& header);

/// Returns the header at the start of `datagram`, or nothing when it is too short or malformed.
std::optional<ForwardHeader> DecodeForwardHeader(std::span<const std::uint8_t> datagram);

}  // namespace gaugevalve::placement
