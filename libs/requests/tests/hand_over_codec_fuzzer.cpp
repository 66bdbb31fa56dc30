// Feeds arbitrary bytes to the decoder of messages between agents. An accepted message must survive
// a round trip and is passed to the hand-over core of an agent, which must end all runs after a
// time-out.
#include <cstdint>
#include <cstdlib>
#include <memory>
#include <string_view>

#include "gaugevalve/requests/hand_over.h"
#include "gaugevalve/requests/hand_over_codec.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace gaugevalve;  // NOLINT(google-build-using-namespace)
  const auto message = requests::DecodePeerMessage({reinterpret_cast<const char*>(data), size});
  if (!message) {
    return 0;
  }
  const std::string bytes = message->SerializeAsString();
  const auto again = requests::DecodePeerMessage(bytes);
  if (!again || again->SerializeAsString() != bytes) {
    std::abort();
  }
  constexpr base::NodeId kSelf(1);
  const base::TimePoint now(std::chrono::seconds(1));
  base::RandomSource random(1);
  requests::HandOver core(kSelf, base::Incarnation(1), requests::HandOverLimits(), random);
  for (const std::uint64_t sender : {2, 3}) {
    core.OnMessage(base::NodeId(sender), message->hand_over(), now);
    core.OnMessage(base::NodeId(sender), message->hand_over(), now);
  }
  core.OnTimer({1, 1, true}, now + std::chrono::seconds(10));
  if (core.Executor().Size() != 0) {
    std::abort();
  }
  return 0;
}
