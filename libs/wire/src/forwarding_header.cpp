#include "gaugevalve/wire/forwarding_header.h"

#include <algorithm>
#include <optional>

#include "gaugevalve/wire/byte_reader.h"
#include "gaugevalve/wire/tlv_reader.h"

namespace gaugevalve::wire {
namespace {

constexpr std::uint8_t kRouteField = 0xe0;
constexpr std::uint8_t kOwnerField = 0xe1;
constexpr std::uint8_t kPreviousOwnerField = 0xe2;
constexpr std::uint8_t kClaimField = 0xe3;
constexpr std::uint8_t kFormatVersion = 1;
constexpr std::uint8_t kWalkMask = 0x03;
constexpr std::uint8_t kCutFlag = 0x04;

void WriteVersion(ByteWriter& writer, const routing::TableVersion& version) {
  writer.WriteUint64(version.epoch);
  writer.WriteUint32(version.generation);
  writer.WriteUint32(version.sequence);
}

routing::TableVersion ReadVersion(ByteReader& reader) {
  routing::TableVersion version;
  version.epoch = reader.ReadUint64();
  version.generation = reader.ReadUint32();
  version.sequence = reader.ReadUint32();
  return version;
}

void WriteAgent(ByteWriter& writer, const AgentAddress& agent) {
  writer.WriteUint64(agent.node.value());
  writer.WriteUint64(agent.incarnation.value());
  writer.WriteSocketAddress(agent.data_address);
}

AgentAddress ReadAgent(ByteReader& reader) {
  AgentAddress agent;
  agent.node = base::NodeId(reader.ReadUint64());
  agent.incarnation = base::Incarnation(reader.ReadUint64());
  agent.data_address = reader.ReadSocketAddress();
  return agent;
}

void WriteRoute(ProxyHeaderWriter& writer, const ForwardingHeader& header) {
  ByteWriter& value = writer.BeginField(kRouteField);
  value.WriteUint8(kFormatVersion);
  value.WriteUint32(header.service.value());
  WriteVersion(value, header.table_version);
  value.WriteUint64(header.target.value());
  value.WriteUint64(header.target_incarnation.value());
  value.WriteUint16(header.bucket.value());
  value.WriteUint8(header.hop_count);
  const std::uint8_t cut = header.entry.is_cut ? kCutFlag : 0;
  value.WriteUint8(static_cast<std::uint8_t>(header.walk) | cut);
  writer.EndField();
}

// Tells whether the reader took the value whole and nothing was left.
bool IsExact(const ByteReader& reader) { return reader.Ok() && reader.Rest().empty(); }

// Gathers the fields of one header as they come.
class HeaderBuilder {
 public:
  // Takes one field in; other types than ours are skipped.
  void Add(const Tlv& field) {
    ByteReader reader(field.value);
    switch (field.type) {
      case kRouteField:
        ReadRoute(reader);
        break;
      case kOwnerField:
        Expect(!has_owner_);
        has_owner_ = true;
        header_.entry.version = ReadVersion(reader);
        header_.entry.owner = ReadAgent(reader);
        Expect(IsExact(reader));
        break;
      case kPreviousOwnerField:
        Expect(header_.entry.previous_owners.size() < kMaxCarriedOwners);
        if (!error_) {
          header_.entry.previous_owners.push_back(ReadAgent(reader));
        }
        Expect(IsExact(reader));
        break;
      case kClaimField:
        Expect(!has_claim_);
        has_claim_ = true;
        header_.claim.holder = base::NodeId(reader.ReadUint64());
        header_.claim.confirmed = ReadVersion(reader);
        Expect(IsExact(reader) && header_.claim.holder != base::NodeId());
        break;
      default:
        break;
    }
  }

  Decoded<ForwardingHeader> Finish() const {
    if (error_) {
      return *error_;
    }
    if (!has_route_) {
      return DecodeError::kMissingRoute;
    }
    return has_owner_ ? Decoded<ForwardingHeader>(header_) : DecodeError::kMalformedRoute;
  }

 private:
  void Expect(bool condition) {
    if (!condition && !error_) {
      error_ = DecodeError::kMalformedRoute;
    }
  }

  void ReadRoute(ByteReader& reader) {
    Expect(!has_route_);
    has_route_ = true;
    if (reader.ReadUint8() != kFormatVersion) {
      error_ = error_.value_or(DecodeError::kUnsupportedFormat);
      return;
    }
    header_.service = base::ServiceId(reader.ReadUint32());
    header_.table_version = ReadVersion(reader);
    header_.target = base::NodeId(reader.ReadUint64());
    header_.target_incarnation = base::Incarnation(reader.ReadUint64());
    header_.bucket = base::BucketIndex(reader.ReadUint16());
    header_.hop_count = reader.ReadUint8();
    const std::uint8_t flags = reader.ReadUint8();
    Expect((flags & ~(kWalkMask | kCutFlag)) == 0);
    Expect((flags & kWalkMask) <= static_cast<std::uint8_t>(ChainWalk::kFinished));
    header_.walk = static_cast<ChainWalk>(flags & kWalkMask);
    header_.entry.is_cut = (flags & kCutFlag) != 0;
    Expect(IsExact(reader));
  }

  ForwardingHeader header_;
  bool has_route_ = false;
  bool has_owner_ = false;
  bool has_claim_ = false;
  std::optional<DecodeError> error_;
};

AgentAddress ToAddress(const routing::AgentEntry& agent) {
  return {agent.node, agent.incarnation, agent.data_address};
}

}  // namespace

BucketEntry ResolveBucket(const routing::BucketTable& table, base::BucketIndex index) {
  const routing::Bucket& bucket = table.buckets[index.value()];
  BucketEntry entry;
  entry.version = bucket.version;
  if (const routing::AgentEntry* const owner = table.FindAgent(bucket.owner)) {
    entry.owner = ToAddress(*owner);
  }
  for (const base::NodeId node : bucket.previous_owners) {
    const routing::AgentEntry* const agent = table.FindAgent(node);
    if (agent == nullptr) {
      continue;
    }
    if (entry.previous_owners.size() == kMaxCarriedOwners) {
      entry.is_cut = true;
      break;
    }
    entry.previous_owners.push_back(ToAddress(*agent));
  }
  return entry;
}

std::size_t EncodeForwardedHeader(std::span<std::uint8_t> buffer, const base::SocketAddress& source,
                                  const base::SocketAddress& destination,
                                  const ForwardingHeader& header) {
  ProxyHeaderWriter writer(buffer, source, destination);
  WriteRoute(writer, header);
  ByteWriter& owner = writer.BeginField(kOwnerField);
  WriteVersion(owner, header.entry.version);
  WriteAgent(owner, header.entry.owner);
  writer.EndField();
  for (const AgentAddress& agent : header.entry.previous_owners) {
    WriteAgent(writer.BeginField(kPreviousOwnerField), agent);
    writer.EndField();
  }
  if (header.claim.holder != base::NodeId()) {
    ByteWriter& claim = writer.BeginField(kClaimField);
    claim.WriteUint64(header.claim.holder.value());
    WriteVersion(claim, header.claim.confirmed);
    writer.EndField();
  }
  return writer.Finish();
}

Decoded<ForwardingHeader> DecodeForwardingHeader(std::span<const std::uint8_t> fields) {
  HeaderBuilder builder;
  TlvReader reader(fields);
  while (const std::optional<Tlv> field = reader.Next()) {
    builder.Add(*field);
  }
  return reader.Ok() ? builder.Finish() : DecodeError::kMalformedTlv;
}

}  // namespace gaugevalve::wire
