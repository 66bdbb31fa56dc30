// Feeds arbitrary bytes to the decoders of the echo service's payloads.

#include <cstddef>
#include <cstdint>

#include "gaugevalve/standins/echo_message.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::span<const std::uint8_t> bytes(data, size);
  gaugevalve::standins::DecodeEchoRequest(bytes);
  gaugevalve::standins::DecodeEchoAnswer(bytes);
  return 0;
}
