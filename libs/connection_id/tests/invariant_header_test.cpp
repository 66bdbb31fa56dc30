#include "gaugevalve/connection_id/invariant_header.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace gaugevalve::connection_id {
namespace {

using Bytes = std::vector<std::uint8_t>;

class InvariantHeaderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(InvariantHeaderTest);
  CPPUNIT_TEST(ALongHeaderGivesVersionAndBothIds);
  CPPUNIT_TEST(AShortHeaderGivesTheDestination);
  CPPUNIT_TEST(EveryCutIsRefused);
  CPPUNIT_TEST(TooLongAnIdIsRefused);
  CPPUNIT_TEST(OnlyInitialPacketsOfVersionOneMayOpen);
  CPPUNIT_TEST_SUITE_END();

  static Bytes LongHeader() { return {0xc0, 0, 0, 0, 1, 3, 'a', 'b', 'c', 2, 'x', 'y'}; }

 public:
  void ALongHeaderGivesVersionAndBothIds() {
    const auto header = ParseInvariantHeader(LongHeader(), 17);
    CPPUNIT_ASSERT(header.has_value());
    CPPUNIT_ASSERT(header->is_long);
    CPPUNIT_ASSERT_EQUAL(kQuicVersion1, header->version);
    CPPUNIT_ASSERT_EQUAL(std::string("616263"), header->destination.ToString());
    CPPUNIT_ASSERT_EQUAL(std::string("7879"), header->source.ToString());
  }

  void AShortHeaderGivesTheDestination() {
    const auto header = ParseInvariantHeader(Bytes{0x40, 1, 2, 3, 4}, 3);
    CPPUNIT_ASSERT(header.has_value());
    CPPUNIT_ASSERT(!header->is_long && !header->is_initial);
    CPPUNIT_ASSERT_EQUAL(std::string("010203"), header->destination.ToString());
  }

  void EveryCutIsRefused() {
    const Bytes whole = LongHeader();
    for (std::size_t length = 0; length < whole.size(); ++length) {
      CPPUNIT_ASSERT(!ParseInvariantHeader(std::span(whole).first(length), 17));
    }
    CPPUNIT_ASSERT(!ParseInvariantHeader(Bytes{0x40, 1, 2}, 3));
  }

  void TooLongAnIdIsRefused() {
    Bytes datagram{0xc0, 0, 0, 0, 1, 21};
    datagram.resize(100);
    CPPUNIT_ASSERT(!ParseInvariantHeader(datagram, 17));
  }

  void OnlyInitialPacketsOfVersionOneMayOpen() {
    Bytes datagram = LongHeader();
    CPPUNIT_ASSERT(ParseInvariantHeader(datagram, 17)->is_initial);
    datagram[0] = 0xe0;  // Handshake
    CPPUNIT_ASSERT(!ParseInvariantHeader(datagram, 17)->is_initial);
    datagram[0] = 0xc0;
    datagram[4] = 0;  // version negotiation
    CPPUNIT_ASSERT(!ParseInvariantHeader(datagram, 17)->is_initial);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InvariantHeaderTest);

}  // namespace
}  // namespace gaugevalve::connection_id
