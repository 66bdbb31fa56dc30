// Passes arbitrary payloads to a core that knows a few members. It must neither crash nor stop
// listing itself.
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "gaugevalve/membership/membership.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace gaugevalve;  // NOLINT(google-build-using-namespace)
  membership::MemberMetadata metadata;
  metadata.process_incarnation = base::Incarnation(1000);
  membership::Membership core(base::NodeId(1), metadata, {}, 1);
  membership::MembershipActions actions;
  core.Start(base::TimePoint{}, actions);
  const transport::SenderIdentity sender{
      base::NodeId(2), base::Incarnation(1), base::SocketAddress::Ipv4(0x7f000001, 1), {}};
  core.OnMessage(sender, {reinterpret_cast<const char*>(data), size}, base::TimePoint{}, actions);
  core.OnTick(base::TimePoint(std::chrono::seconds(1)), actions);
  const auto self = core.Find(base::NodeId(1));
  if (!self || self->incarnation != core.Self().incarnation || core.LiveCount() == 0) {
    std::abort();
  }
  return 0;
}
