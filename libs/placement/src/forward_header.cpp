#include "gaugevalve/placement/forward_header.h"

#include <algorithm>

#include "gaugevalve/base/little_endian.h"

namespace gaugevalve::placement {
namespace {

using base::ReadNumber;
using base::WriteNumber;

constexpr std::uint8_t kSearchFlag = 1;
constexpr std::uint8_t kMustAcceptFlag = 2;
constexpr std::uint8_t kRouteFlag = 4;
// Three bits with the priority XOR the default priority. Headers of earlier releases have zeros
// there and thus the default.
constexpr unsigned kPriorityShift = 3;
constexpr std::uint8_t kPriorityMask = (kPriorityCount - 1) << kPriorityShift;
constexpr std::uint8_t kKnownFlags = kSearchFlag | kMustAcceptFlag | kRouteFlag | kPriorityMask;
constexpr std::size_t kServiceOffset = 4;
constexpr std::size_t kVersionOffset = 8;
constexpr std::size_t kRoundOffset = 15;  // the version's highest byte
constexpr std::uint64_t kVersionMask = 0x00ff'ffff'ffff'ffff;

constexpr std::size_t kAddressSize = 4;
constexpr std::size_t kRouteHeadSize = kAddressSize + 1;

std::uint32_t AddressNumber(const base::SocketAddress& address) {
  return ReadNumber<std::uint32_t>(address.address, 0);
}

base::SocketAddress AddressOf(std::uint32_t number, std::uint16_t port) {
  base::SocketAddress address;
  WriteNumber(std::span(address.address), 0, number);
  address.port = port;
  return address;
}

std::uint8_t PriorityBits(std::uint8_t priority) {
  return static_cast<std::uint8_t>(((priority ^ kDefaultPriority) << kPriorityShift) &
                                   kPriorityMask);
}

std::uint8_t PriorityOf(std::uint8_t flags) {
  return static_cast<std::uint8_t>(((flags & kPriorityMask) >> kPriorityShift) ^ kDefaultPriority);
}

}  // namespace

std::vector<std::uint8_t> EncodeSearch(const ForwardHeader& header, const SearchRoute& route) {
  const auto head = EncodeForwardHeader(header);
  const std::size_t count = std::min(route.next.size(), SearchRoute::kMaxAgents);
  std::vector<std::uint8_t> bytes(head.begin(), head.end());
  bytes.resize(ForwardHeader::kSize + kRouteHeadSize + count * kAddressSize);
  const std::span<std::uint8_t> body = std::span(bytes).subspan(ForwardHeader::kSize);
  WriteNumber(body, 0, AddressNumber(route.origin));
  body[kAddressSize] = static_cast<std::uint8_t>(count);
  for (std::size_t index = 0; index < count; ++index) {
    WriteNumber(body, kRouteHeadSize + index * kAddressSize, AddressNumber(route.next[index]));
  }
  return bytes;
}

std::optional<SearchRoute> DecodeSearchRoute(std::span<std::uint8_t>& bytes, std::uint16_t port) {
  if (bytes.size() < kRouteHeadSize) {
    return std::nullopt;
  }
  const std::size_t count = bytes[kAddressSize];
  const std::size_t size = kRouteHeadSize + count * kAddressSize;
  if (count > SearchRoute::kMaxAgents || bytes.size() < size) {
    return std::nullopt;
  }
  SearchRoute route;
  route.origin = AddressOf(ReadNumber<std::uint32_t>(bytes, 0), port);
  for (std::size_t index = 0; index < count; ++index) {
    const std::size_t offset = kRouteHeadSize + index * kAddressSize;
    route.next.push_back(AddressOf(ReadNumber<std::uint32_t>(bytes, offset), port));
  }
  bytes = bytes.subspan(size);
  return route;
}

const char* ReturnReasonName(ReturnReason reason) {
  switch (reason) {
    case ReturnReason::kNotHeld:
      return "not_held";
    case ReturnReason::kNotAdmitting:
      return "not_admitting";
    case ReturnReason::kBusy:
      return "busy";
    case ReturnReason::kOtherService:
      return "other_service";
    case ReturnReason::kEvacuated:
      return "evacuated";
    case ReturnReason::kWarmingUp:
      return "warming_up";
    default:
      return "none";
  }
}

std::array<std::uint8_t, ForwardHeader::kSize> EncodeForwardHeader(const ForwardHeader& header) {
  std::array<std::uint8_t, ForwardHeader::kSize> bytes{};
  bytes[0] = static_cast<std::uint8_t>(header.kind);
  bytes[1] = static_cast<std::uint8_t>(
      (header.is_search ? kSearchFlag : 0) | (header.must_accept ? kMustAcceptFlag : 0) |
      (header.has_route ? kRouteFlag : 0) | PriorityBits(header.priority));
  bytes[2] = header.attempt;
  bytes[3] = header.kind == MessageKind::kForward ? header.busy_limit
                                                  : static_cast<std::uint8_t>(header.reason);
  WriteNumber(std::span(bytes), kServiceOffset, header.service.value());
  WriteNumber(std::span(bytes), kVersionOffset, header.routes_version);
  bytes[kRoundOffset] = header.search_round;
  return bytes;
}

std::optional<ForwardHeader> DecodeForwardHeader(std::span<const std::uint8_t> datagram) {
  if (datagram.size() < ForwardHeader::kSize) {
    return std::nullopt;
  }
  const std::uint8_t kind = datagram[0];
  const std::uint8_t flags = datagram[1];
  const bool is_forward = kind == static_cast<std::uint8_t>(MessageKind::kForward);
  const std::uint8_t reason = is_forward ? 0 : datagram[3];
  const std::uint8_t busy_limit = is_forward ? datagram[3] : 0;
  const bool has_known_kind = kind >= static_cast<std::uint8_t>(MessageKind::kForward) &&
                              kind <= static_cast<std::uint8_t>(MessageKind::kLoad);
  const bool has_known_flags = (flags & ~kKnownFlags) == 0;
  const bool has_known_reason = reason < kReturnReasonCount;
  const bool has_limit_in_range = busy_limit <= ForwardHeader::kMaxBusyLimit;
  if (!has_known_kind || !has_known_flags || !has_known_reason || !has_limit_in_range) {
    return std::nullopt;
  }
  ForwardHeader header;
  header.kind = static_cast<MessageKind>(kind);
  header.is_search = (flags & kSearchFlag) != 0;
  header.must_accept = (flags & kMustAcceptFlag) != 0;
  header.has_route = (flags & kRouteFlag) != 0;
  header.priority = PriorityOf(flags);
  header.attempt = datagram[2];
  header.reason = static_cast<ReturnReason>(reason);
  header.busy_limit = busy_limit;
  header.service = base::ServiceId(ReadNumber<std::uint32_t>(datagram, kServiceOffset));
  header.routes_version = ReadNumber<std::uint64_t>(datagram, kVersionOffset) & kVersionMask;
  header.search_round = datagram[kRoundOffset];
  return header;
}

}  // namespace gaugevalve::placement
