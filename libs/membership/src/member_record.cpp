#include "member_record.h"

#include <algorithm>
#include <limits>

namespace gaugevalve::membership {
namespace {

constexpr std::size_t kIpv4Bytes = 4;
constexpr std::size_t kIpv6Bytes = 16;
// The first release does not send its settings schema.
constexpr std::uint32_t kFirstSettingsSchema = 1;

void EncodeMetadata(const MemberMetadata& metadata, proto::Metadata& encoded) {
  encoded.set_role(static_cast<proto::Role>(metadata.role));
  encoded.set_leaving(metadata.leaving);
  encoded.set_region(metadata.region);
  encoded.set_zone(metadata.zone);
  EncodeAddress(metadata.control_address, *encoded.mutable_control_address());
  EncodeAddress(metadata.data_address, *encoded.mutable_data_address());
  encoded.set_service(metadata.service.value());
  encoded.set_endpoint_name(metadata.endpoint_name);
  encoded.set_minimum_protocol_version(metadata.versions.minimum);
  encoded.set_maximum_protocol_version(metadata.versions.maximum);
  encoded.set_life(metadata.process_incarnation.value());
  encoded.set_settings_schema(metadata.settings_schema);
}

bool IsWellFormed(const proto::Metadata& encoded) {
  const bool role_is_known = encoded.role() == proto::ROLE_BALANCER ||  //
                             encoded.role() == proto::ROLE_AGENT;
  const bool names_fit = encoded.region().size() <= kMaximumNameBytes &&
                         encoded.zone().size() <= kMaximumNameBytes &&
                         encoded.endpoint_name().size() <= kMaximumNameBytes;
  return role_is_known && names_fit &&
         encoded.minimum_protocol_version() <= encoded.maximum_protocol_version();
}

std::shared_ptr<const MemberMetadata> DecodeMetadata(const proto::Metadata& encoded) {
  const auto control_address = DecodeAddress(encoded.control_address());
  const auto data_address = DecodeAddress(encoded.data_address());
  if (!IsWellFormed(encoded) || !control_address || !data_address) {
    return nullptr;
  }
  auto metadata = std::make_shared<MemberMetadata>();
  metadata->role = static_cast<Role>(encoded.role());
  metadata->leaving = encoded.leaving();
  metadata->region = encoded.region();
  metadata->zone = encoded.zone();
  metadata->control_address = *control_address;
  metadata->data_address = *data_address;
  metadata->service = base::ServiceId(encoded.service());
  metadata->endpoint_name = encoded.endpoint_name();
  metadata->versions = {encoded.minimum_protocol_version(), encoded.maximum_protocol_version()};
  metadata->process_incarnation = base::Incarnation(encoded.life());
  metadata->settings_schema = std::max(encoded.settings_schema(), kFirstSettingsSchema);
  return metadata;
}

}  // namespace

AccuserTag MakeAccuserTag(base::NodeId node) { return static_cast<AccuserTag>(node.value()); }

void EncodeRecord(const Member& member, RecordDetail detail, AccuserTag accuser,
                  proto::MemberRecord& record) {
  record.set_node(member.node.value());
  record.set_incarnation(member.incarnation.value());
  record.set_state(static_cast<proto::MemberState>(member.state));
  record.set_refutations(member.incarnation.value() - member.metadata_version.value());
  if (member.state == MemberState::kSuspect) {
    record.set_accuser(accuser);
  }
  const bool is_new =
      member.state == MemberState::kAlive && member.incarnation == member.metadata_version;
  if (detail == RecordDetail::kFull || (detail == RecordDetail::kUpdate && is_new)) {
    EncodeMetadata(*member.metadata, *record.mutable_metadata());
  }
}

std::optional<MemberRecord> DecodeRecord(const proto::MemberRecord& record) {
  if (!proto::MemberState_IsValid(record.state()) || record.refutations() > record.incarnation()) {
    return std::nullopt;
  }
  MemberRecord decoded;
  decoded.node = base::NodeId(record.node());
  decoded.incarnation = base::Incarnation(record.incarnation());
  decoded.metadata_version = base::Incarnation(record.incarnation() - record.refutations());
  decoded.state = static_cast<MemberState>(record.state());
  decoded.accuser = record.accuser();
  if (record.has_metadata()) {
    decoded.metadata = DecodeMetadata(record.metadata());
    if (decoded.metadata == nullptr) {
      return std::nullopt;
    }
  }
  return decoded;
}

void EncodeAddress(const base::SocketAddress& address, proto::Address& encoded) {
  const std::size_t length = address.family == base::AddressFamily::kIpv4 ? kIpv4Bytes : kIpv6Bytes;
  encoded.set_ip(address.address.data(), length);
  encoded.set_port(address.port);
}

std::optional<base::SocketAddress> DecodeAddress(const proto::Address& encoded) {
  const std::size_t length = encoded.ip().size();
  if ((length != kIpv4Bytes && length != kIpv6Bytes) ||
      encoded.port() > std::numeric_limits<std::uint16_t>::max()) {
    return std::nullopt;
  }
  base::SocketAddress address;
  address.family = length == kIpv4Bytes ? base::AddressFamily::kIpv4 : base::AddressFamily::kIpv6;
  std::copy(encoded.ip().begin(), encoded.ip().end(), address.address.begin());
  address.port = static_cast<std::uint16_t>(encoded.port());
  return address;
}

}  // namespace gaugevalve::membership
