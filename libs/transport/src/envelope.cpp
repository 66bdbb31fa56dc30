#include "gaugevalve/transport/envelope.h"

#include <algorithm>
#include <limits>

#include "gaugevalve/transport/transport.pb.h"

namespace gaugevalve::transport {
namespace {

constexpr std::size_t kIpv4Bytes = 4;
constexpr std::size_t kIpv6Bytes = 16;

std::string AddressBytes(const base::SocketAddress& address) {
  const std::size_t length = address.family == base::AddressFamily::kIpv4 ? kIpv4Bytes : kIpv6Bytes;
  return {address.address.begin(), address.address.begin() + static_cast<std::ptrdiff_t>(length)};
}

std::optional<base::SocketAddress> ParseAddress(const std::string& bytes, std::uint32_t port) {
  const bool length_is_known = bytes.size() == kIpv4Bytes || bytes.size() == kIpv6Bytes;
  if (!length_is_known || port == 0 || port > std::numeric_limits<std::uint16_t>::max()) {
    return std::nullopt;
  }
  base::SocketAddress address;
  address.family =
      bytes.size() == kIpv4Bytes ? base::AddressFamily::kIpv4 : base::AddressFamily::kIpv6;
  std::copy(bytes.begin(), bytes.end(), address.address.begin());
  address.port = static_cast<std::uint16_t>(port);
  return address;
}

bool IsKnownKind(proto::MessageKind kind) {
  return kind != proto::MESSAGE_KIND_UNSPECIFIED && proto::MessageKind_IsValid(kind);
}

}  // namespace

std::string_view MessageKindName(MessageKind kind) {
  switch (kind) {
    case MessageKind::kMembership:
      return "membership";
    case MessageKind::kDissemination:
      return "dissemination";
    case MessageKind::kControl:
      return "control";
    case MessageKind::kRequestHandOver:
      return "request_hand_over";
  }
  return "unknown";
}

std::optional<std::uint32_t> NegotiateProtocolVersion(const ProtocolVersionRange& ours,
                                                      const ProtocolVersionRange& theirs) {
  const std::uint32_t newest = std::min(ours.maximum, theirs.maximum);
  if (newest < std::max(ours.minimum, theirs.minimum)) {
    return std::nullopt;
  }
  return newest;
}

std::string EncodeEnvelope(const Envelope& envelope) {
  proto::Envelope message;
  message.set_sender_node(envelope.sender.node.value());
  message.set_sender_incarnation(envelope.sender.incarnation.value());
  message.set_sender_address(AddressBytes(envelope.sender.control_address));
  message.set_sender_port(envelope.sender.control_address.port);
  message.set_minimum_protocol_version(envelope.sender.versions.minimum);
  message.set_maximum_protocol_version(envelope.sender.versions.maximum);
  message.set_kind(static_cast<proto::MessageKind>(envelope.kind));
  message.set_payload(envelope.payload);
  return message.SerializeAsString();
}

std::optional<Envelope> DecodeEnvelope(std::string_view bytes) {
  proto::Envelope message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return std::nullopt;
  }
  const auto address = ParseAddress(message.sender_address(), message.sender_port());
  const bool versions_are_valid =
      message.minimum_protocol_version() <= message.maximum_protocol_version();
  if (!address || !IsKnownKind(message.kind()) || !versions_are_valid) {
    return std::nullopt;
  }
  Envelope envelope;
  envelope.sender.node = base::NodeId(message.sender_node());
  envelope.sender.incarnation = base::Incarnation(message.sender_incarnation());
  envelope.sender.control_address = *address;
  envelope.sender.versions = {message.minimum_protocol_version(),
                              message.maximum_protocol_version()};
  envelope.kind = static_cast<MessageKind>(message.kind());
  envelope.payload = std::move(*message.mutable_payload());
  return envelope;
}

}  // namespace gaugevalve::transport
