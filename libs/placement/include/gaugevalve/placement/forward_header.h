/// @file
/// Header of each datagram that balancers and agents send to each other. Its layout is fixed and
/// little-endian, because it is read for every packet of the data path.
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

/// Type of the content that follows a header.
enum class MessageKind : std::uint8_t {
  kForward = 1,       ///< a client's packet for the agent's endpoint
  kReturned = 2,      ///< a forwarded packet that the agent or its endpoint did not accept
  kHolderNotice = 3,  ///< head of a packet whose flow the agent's endpoint holds
  kControl = 4,       ///< a NodeMessage (protobuf)
  kLoad = 5,          ///< a LoadNotice
};

/// Why an agent returned a packet.
enum class ReturnReason : std::uint8_t {
  kNone = 0,
  kNotHeld = 1,       ///< the endpoint doesn't hold the flow or can't accept a new one
  kNotAdmitting = 2,  ///< the endpoint is draining, silent or unknown
  kBusy = 3,          ///< all slots are in use; another endpoint may be free
  kOtherService = 4,  ///< the endpoint belongs to another service
  kEvacuated = 5,     ///< the endpoint's zone is evacuated
  kWarmingUp = 6,     ///< the endpoint is warming up and has reached its rate of new flows
};

inline constexpr std::size_t kReturnReasonCount =
    static_cast<std::size_t>(ReturnReason::kWarmingUp) + 1;

/// Returns the reason's name for logs and metrics.
const char* ReturnReasonName(ReturnReason reason);

struct ForwardHeader {
  static constexpr std::size_t kSize = 16;

  MessageKind kind = MessageKind::kForward;
  bool is_search = false;    ///< the balancer searches for the holder, which sends kHolderNotice
  bool has_route = false;    ///< a SearchRoute follows
  bool must_accept = false;  ///< no endpoint is free: accept the opening packet despite the load
  /// For must_accept in a kForward: the number of requests at the endpoint from which a new one
  /// would miss its target latency; the agent then returns the opening all the same. 0 for no
  /// limit, at most kMaxBusyLimit.
  std::uint8_t busy_limit = 0;
  static constexpr std::uint8_t kMaxBusyLimit = 127;
  std::uint8_t attempt = 0;  ///< how often a balancer has forwarded this packet again
  ReturnReason reason = ReturnReason::kNone;  ///< for kReturned
  base::ServiceId service;
  std::uint64_t routes_version = 0;  ///< lower 56 bits of the balancer's route table version
  std::uint8_t priority =
      kDefaultPriority;           ///< for kForward: of the flow's requests; see RequestClass
  std::uint8_t search_round = 0;  ///< number of the flow's search at the balancer, modulo 256

  friend bool operator==(const ForwardHeader&, const ForwardHeader&) = default;
};

/// The route of a packet whose flow's holder is searched for. Agents forward the packet to each
/// other, so that a search costs its balancer one packet.
struct SearchRoute {
  static constexpr std::size_t kMaxAgents = 48;

  base::SocketAddress origin;             ///< the balancer that searches
  std::vector<base::SocketAddress> next;  ///< agents to ask after this one, in order

  friend bool operator==(const SearchRoute&, const SearchRoute&) = default;
};

/// Serializes a header and the route that follows it.
std::vector<std::uint8_t> EncodeSearch(const ForwardHeader& header, const SearchRoute& route);

/// Parses the route that follows a header with `has_route`. Returns nothing if it is malformed.
/// @param bytes  the bytes after the header; the route is removed from their front
/// @param port  the port of all nodes
std::optional<SearchRoute> DecodeSearchRoute(std::span<std::uint8_t>& bytes, std::uint16_t port);

/// Serializes the header.
std::array<std::uint8_t, ForwardHeader::kSize> EncodeForwardHeader(const ForwardHeader& header);

/// Parses the header at the start of `datagram`. Returns nothing if it is too short or malformed.
std::optional<ForwardHeader> DecodeForwardHeader(std::span<const std::uint8_t> datagram);

}  // namespace gaugevalve::placement
