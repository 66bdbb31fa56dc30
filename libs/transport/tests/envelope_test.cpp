#include "gaugevalve/transport/envelope.h"

#include <cppunit/extensions/HelperMacros.h>

#include "gaugevalve/transport/transport.pb.h"

namespace gaugevalve::transport {
namespace {

Envelope MakeEnvelope(std::string_view address) {
  Envelope envelope;
  envelope.sender = {base::NodeId(7), base::Incarnation(9), *base::SocketAddress::Parse(address),
                     ProtocolVersionRange{1, 3}};
  envelope.kind = MessageKind::kControl;
  envelope.payload = std::string("\0report", 7);
  return envelope;
}

class EnvelopeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EnvelopeTest);
  CPPUNIT_TEST(RoundTripsBothFamilies);
  CPPUNIT_TEST(RefusesMalformedMessages);
  CPPUNIT_TEST(NegotiatesTheNewestSharedVersion);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RoundTripsBothFamilies() {
    for (const char* address : {"192.0.2.1:80", "[2001:db8::1]:65535"}) {
      const Envelope envelope = MakeEnvelope(address);
      CPPUNIT_ASSERT(DecodeEnvelope(EncodeEnvelope(envelope)) == envelope);
    }
  }

  void RefusesMalformedMessages() {
    const std::string valid = EncodeEnvelope(MakeEnvelope("192.0.2.1:80"));
    CPPUNIT_ASSERT(!DecodeEnvelope(""));
    CPPUNIT_ASSERT(!DecodeEnvelope(valid.substr(0, valid.size() - 1)));
    ExpectRefused([](proto::Envelope& message) { message.set_sender_address("abc"); });
    ExpectRefused([](proto::Envelope& message) { message.set_sender_port(0); });
    ExpectRefused([](proto::Envelope& message) { message.set_sender_port(65536); });
    ExpectRefused([](proto::Envelope& message) { message.set_minimum_protocol_version(4); });
    ExpectRefused([](proto::Envelope& message) { message.clear_kind(); });
    ExpectRefused(
        [](proto::Envelope& message) { message.set_kind(static_cast<proto::MessageKind>(99)); });
  }

  void NegotiatesTheNewestSharedVersion() {
    CPPUNIT_ASSERT_EQUAL(2U, NegotiateProtocolVersion({1, 2}, {2, 5}).value());
    CPPUNIT_ASSERT(!NegotiateProtocolVersion({1, 2}, {3, 5}).has_value());
  }

 private:
  template <class Change>
  static void ExpectRefused(Change change) {
    proto::Envelope message;
    CPPUNIT_ASSERT(message.ParseFromString(EncodeEnvelope(MakeEnvelope("192.0.2.1:80"))));
    change(message);
    CPPUNIT_ASSERT(!DecodeEnvelope(message.SerializeAsString()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EnvelopeTest);

}  // namespace
}  // namespace gaugevalve::transport
