#include "gaugevalve/wire/forwarding_header.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <string>

#include "gaugevalve/wire/flow_key.h"

namespace gaugevalve::wire {
namespace {

constexpr std::size_t kRouteStart = 28;  // behind the plain IPv4 header
constexpr std::size_t kFormatByte = kRouteStart + 3;
constexpr std::size_t kFlagsByte = kFormatByte + 40;

const base::SocketAddress client_address = base::SocketAddress::Ipv4(0xc0000201, 4000);
const base::SocketAddress virtual_address = base::SocketAddress::Ipv4(0xc6336407, 53);

AgentAddress MakeAgent(std::uint64_t number) {
  const auto address = base::SocketAddress::Parse("[2001:db8::9]:" + std::to_string(7000 + number));
  return {base::NodeId(number), base::Incarnation(100 + number), *address};
}

ForwardingHeader MakeHeader(std::size_t previous_owners) {
  ForwardingHeader header;
  header.service = base::ServiceId(77);
  header.table_version = {5, 1, 9};
  header.target = base::NodeId(2);
  header.target_incarnation = base::Incarnation(102);
  header.bucket = base::BucketIndex(513);
  header.entry.version = {5, 1, 8};
  header.entry.owner = MakeAgent(2);
  for (std::size_t index = 0; index < previous_owners; ++index) {
    header.entry.previous_owners.push_back(MakeAgent(10 + index));
  }
  header.hop_count = 3;
  header.walk = ChainWalk::kWalking;
  header.claim = {base::NodeId(10), {4, 0, 2}};
  return header;
}

// An encoded header that tests change byte by byte.
struct Encoded {
  explicit Encoded(const ForwardingHeader& header)
      : size(EncodeForwardedHeader(buffer, client_address, virtual_address, header)) {}

  Decoded<ForwardingHeader> Decode() const {
    const auto datagram = DecodeProxyDatagram(std::span(buffer).first(size));
    return DecodeForwardingHeader(std::get<ProxyDatagram>(datagram).fields);
  }

  std::string Error() const {
    const Decoded<ForwardingHeader> decoded = Decode();
    const auto* const error = std::get_if<DecodeError>(&decoded);
    return error == nullptr ? "decoded" : std::string(ToString(*error));
  }

  std::array<std::uint8_t, kMaxForwardedHeaderSize> buffer{};
  std::size_t size;
};

class ForwardingHeaderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ForwardingHeaderTest);
  CPPUNIT_TEST(HeaderIsReadBack);
  CPPUNIT_TEST(LargestHeaderFits);
  CPPUNIT_TEST(UnknownFieldsAreSkipped);
  CPPUNIT_TEST(FaultsHaveTheirReasons);
  CPPUNIT_TEST(ResolvedBucketNamesOnlyListedAgents);
  CPPUNIT_TEST(LongChainIsMarkedAsCut);
  CPPUNIT_TEST(FlowKeyHashIsStable);
  CPPUNIT_TEST_SUITE_END();

 public:
  void HeaderIsReadBack() {
    const ForwardingHeader header = MakeHeader(2);
    CPPUNIT_ASSERT(std::get<ForwardingHeader>(Encoded(header).Decode()) == header);
  }

  void LargestHeaderFits() {
    ForwardingHeader header = MakeHeader(kMaxCarriedOwners);
    header.entry.is_cut = true;
    std::array<std::uint8_t, kMaxForwardedHeaderSize> buffer;
    const auto ipv6 = *base::SocketAddress::Parse("[::1]:1");
    CPPUNIT_ASSERT_EQUAL(kMaxForwardedHeaderSize,
                         EncodeForwardedHeader(buffer, ipv6, ipv6, header));
    CPPUNIT_ASSERT(std::get<ForwardingHeader>(Encoded(header).Decode()) == header);
  }

  void UnknownFieldsAreSkipped() {
    Encoded encoded(MakeHeader(0));
    std::array<std::uint8_t, 256> longer{};
    ProxyHeaderWriter writer(longer, client_address, virtual_address);
    writer.BeginField(0xef).WriteUint32(1);
    writer.EndField();
    const std::size_t start = writer.Finish();
    const std::span<std::uint8_t> ours = std::span(encoded.buffer).first(encoded.size);
    const std::span<std::uint8_t> fields = ours.subspan(kRouteStart);
    std::copy(fields.begin(), fields.end(), longer.begin() + start);
    const auto all = std::span(longer).subspan(kRouteStart, start - kRouteStart + fields.size());
    CPPUNIT_ASSERT(std::get<ForwardingHeader>(DecodeForwardingHeader(all)) == MakeHeader(0));
  }

  void FaultsHaveTheirReasons() {
    CPPUNIT_ASSERT(std::get<DecodeError>(DecodeForwardingHeader({})) == DecodeError::kMissingRoute);
    Encoded format(MakeHeader(1));
    format.buffer.at(kFormatByte) = 9;
    CPPUNIT_ASSERT_EQUAL(std::string("unsupported_format"), format.Error());
    Encoded walk(MakeHeader(1));
    walk.buffer.at(kFlagsByte) = 3;
    CPPUNIT_ASSERT_EQUAL(std::string("malformed_route"), walk.Error());
    Encoded family(MakeHeader(1));
    family.buffer.at(kFlagsByte + 1 + 3 + 32) = 5;  // the owner's address family
    CPPUNIT_ASSERT_EQUAL(std::string("malformed_route"), family.Error());
  }

  void ResolvedBucketNamesOnlyListedAgents() {
    routing::BucketTable table;
    table.agents = {{base::NodeId(1), base::Incarnation(4), client_address, "east"},
                    {base::NodeId(2), base::Incarnation(6), virtual_address, "west"}};
    table.buckets = {{{1, 0, 3}, base::NodeId(2), {base::NodeId(9), base::NodeId(1)}}};
    const BucketEntry entry = ResolveBucket(table, base::BucketIndex(0));
    CPPUNIT_ASSERT(entry.owner ==
                   (AgentAddress{base::NodeId(2), base::Incarnation(6), virtual_address}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, entry.previous_owners.size());
    CPPUNIT_ASSERT_EQUAL(base::NodeId(1), entry.previous_owners[0].node);
    CPPUNIT_ASSERT(!entry.is_cut);
  }

  void LongChainIsMarkedAsCut() {
    routing::BucketTable table;
    table.buckets = {{{1, 0, 3}, base::NodeId(0), {}}};
    for (std::uint64_t number = 1; number <= kMaxCarriedOwners + 1; ++number) {
      table.agents.push_back({base::NodeId(number), base::Incarnation(1), client_address, ""});
      table.buckets[0].previous_owners.emplace_back(number);
    }
    const BucketEntry entry = ResolveBucket(table, base::BucketIndex(0));
    CPPUNIT_ASSERT_EQUAL(kMaxCarriedOwners, entry.previous_owners.size());
    CPPUNIT_ASSERT(entry.is_cut);
  }

  void FlowKeyHashIsStable() {
    // Nodes of different releases must agree on the bucket, so this value may never change.
    constexpr std::uint64_t kExpected = 15'835'949'719'164'362'427U;
    CPPUNIT_ASSERT_EQUAL(kExpected, (FlowKey{client_address, virtual_address}.Hash()));
    CPPUNIT_ASSERT((FlowKey{client_address, virtual_address}.Hash() !=
                    FlowKey{virtual_address, client_address}.Hash()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardingHeaderTest);

}  // namespace
}  // namespace gaugevalve::wire
