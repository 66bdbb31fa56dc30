#include "gaugevalve/connection_id/codec.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "gaugevalve/base/random_source.h"
#include "gaugevalve/connection_id/issuer.h"

namespace gaugevalve::connection_id {
namespace {

Key KeyOf(std::uint8_t fill) {
  Key key;
  key.fill(fill);
  return key;
}

KeySet OneKey(std::size_t slot, std::uint8_t fill) {
  KeySet keys;
  keys.Add(slot, KeyOf(fill));
  return keys;
}

class CodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CodecTest);
  CPPUNIT_TEST(AnIdDecodesToItsOrigin);
  CPPUNIT_TEST(BothKeysOfARotationDecode);
  CPPUNIT_TEST(AnIdUnderARemovedKeySaysNothing);
  CPPUNIT_TEST(RandomIdsReachNoAgent);
  CPPUNIT_TEST(AChangedBitNoLongerNamesTheAgent);
  CPPUNIT_TEST(IdsOfOneAgentAreAllDifferent);
  CPPUNIT_TEST(LivesOfAnAgentIssueDifferentIds);
  CPPUNIT_TEST(ResetTokensDependOnKeyServiceAndId);
  CPPUNIT_TEST_SUITE_END();

  static constexpr Origin kOrigin{base::NodeId(0x1122334455667788), 0x99aabbcc, 7};

 public:
  void AnIdDecodesToItsOrigin() {
    const Codec codec(OneKey(3, 1));
    const ConnectionId id = codec.Encode(kOrigin);
    CPPUNIT_ASSERT_EQUAL(kRoutableIdLength, id.bytes().size());
    CPPUNIT_ASSERT(codec.Decode(id) == kOrigin);
    CPPUNIT_ASSERT(Codec::SlotOf(id) == std::size_t{3});
  }

  void BothKeysOfARotationDecode() {
    const ConnectionId before = Codec(OneKey(0, 1)).Encode(kOrigin);
    KeySet both = OneKey(1, 2);
    both.Add(0, KeyOf(1));
    const Codec codec(both);
    const ConnectionId after = codec.Encode(kOrigin);
    CPPUNIT_ASSERT(Codec::SlotOf(after) == std::size_t{1});
    CPPUNIT_ASSERT(codec.Decode(before) == kOrigin);
    CPPUNIT_ASSERT(codec.Decode(after) == kOrigin);
  }

  void AnIdUnderARemovedKeySaysNothing() {
    const ConnectionId id = Codec(OneKey(0, 1)).Encode(kOrigin);
    CPPUNIT_ASSERT(!Codec(OneKey(1, 2)).Decode(id));
    CPPUNIT_ASSERT(Codec(OneKey(0, 2)).Decode(id)->node != kOrigin.node);
  }

  // An outsider's IDs in the right form must not find any of the 3,800 agents of a deployment.
  void RandomIdsReachNoAgent() {
    const Codec codec(OneKey(0, 1));
    std::set<base::NodeId> agents;
    for (int index = 0; index < 3800; ++index) {
      agents.insert(base::MakeNodeId("agent-" + std::to_string(index)));
    }
    base::RandomSource random(11);
    for (int draw = 0; draw < 100'000; ++draw) {
      std::array<std::uint8_t, kRoutableIdLength> bytes{};
      for (auto& byte : bytes) {
        byte = static_cast<std::uint8_t>(random.NextUint64());
      }
      bytes[0] = 0x10;
      const auto origin = codec.Decode(*ConnectionId::FromBytes(bytes));
      CPPUNIT_ASSERT(origin.has_value());
      CPPUNIT_ASSERT(!agents.contains(origin->node));
    }
  }

  void AChangedBitNoLongerNamesTheAgent() {
    const Codec codec(OneKey(0, 1));
    const ConnectionId id = codec.Encode(kOrigin);
    for (std::size_t bit = 8; bit < 8 * kRoutableIdLength; ++bit) {
      std::array<std::uint8_t, kRoutableIdLength> bytes{};
      std::copy(id.bytes().begin(), id.bytes().end(), bytes.begin());
      bytes[bit / 8] ^= static_cast<std::uint8_t>(1U << (bit % 8));
      CPPUNIT_ASSERT(codec.Decode(*ConnectionId::FromBytes(bytes))->node != kOrigin.node);
    }
  }

  void IdsOfOneAgentAreAllDifferent() {
    const auto codec = std::make_shared<const Codec>(OneKey(0, 1));
    constexpr std::uint32_t kNearTheEnd = 0xffffff00;  // the nonce wraps within the test
    Issuer issuer(codec, base::ServiceId(1), kOrigin.node, base::Incarnation(1), kNearTheEnd);
    std::set<ConnectionId> ids;
    for (int count = 0; count < 1000; ++count) {
      CPPUNIT_ASSERT(ids.insert(issuer.Issue()).second);
    }
  }

  void LivesOfAnAgentIssueDifferentIds() {
    const auto codec = std::make_shared<const Codec>(OneKey(0, 1));
    Issuer before(codec, base::ServiceId(1), kOrigin.node, base::Incarnation(1'000'000), 0);
    Issuer after(codec, base::ServiceId(1), kOrigin.node, base::Incarnation(1'002'000), 0);
    CPPUNIT_ASSERT(before.Issue() != after.Issue());
  }

  void ResetTokensDependOnKeyServiceAndId() {
    const Codec codec(OneKey(0, 1));
    const Codec other_key(OneKey(0, 2));
    const ConnectionId id = codec.Encode(kOrigin);
    const auto token = codec.ResetToken(base::ServiceId(1), id);
    CPPUNIT_ASSERT(token == codec.ResetToken(base::ServiceId(1), id));
    CPPUNIT_ASSERT(token != codec.ResetToken(base::ServiceId(2), id));
    CPPUNIT_ASSERT(token != other_key.ResetToken(base::ServiceId(1), id));
    CPPUNIT_ASSERT(token != codec.ResetToken(base::ServiceId(1), codec.Encode({})));
    CPPUNIT_ASSERT(!Codec(OneKey(1, 1)).ResetToken(base::ServiceId(1), id));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CodecTest);

}  // namespace
}  // namespace gaugevalve::connection_id
