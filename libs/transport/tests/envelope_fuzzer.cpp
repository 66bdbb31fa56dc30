// Feeds arbitrary bytes to the envelope decoder: what it accepts must survive a round trip.
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "gaugevalve/transport/envelope.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using gaugevalve::transport::DecodeEnvelope;
  using gaugevalve::transport::EncodeEnvelope;
  const auto envelope = DecodeEnvelope({reinterpret_cast<const char*>(data), size});
  if (envelope && DecodeEnvelope(EncodeEnvelope(*envelope)) != envelope) {
    std::abort();
  }
  return 0;
}
