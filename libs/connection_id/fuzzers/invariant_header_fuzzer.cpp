// Fuzz target: any datagram is parsed and its ID decoded without a fault, and what is found lies
// within the datagram.
#include <cstdlib>

#include "gaugevalve/connection_id/codec.h"
#include "gaugevalve/connection_id/invariant_header.h"

namespace {

using namespace gaugevalve::connection_id;  // NOLINT(google-build-using-namespace)

const Codec& TestCodec() {
  static const Codec codec = [] {
    KeySet keys;
    keys.Add(0, Key{1, 2, 3});
    return Codec(keys);
  }();
  return codec;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const auto header = ParseInvariantHeader({data, size}, kRoutableIdLength);
  if (!header) {
    return 0;
  }
  if (header->destination.bytes().size() + header->source.bytes().size() >= size) {
    std::abort();
  }
  const auto origin = TestCodec().Decode(header->destination);
  if (origin && TestCodec().Encode(*origin) != header->destination) {
    std::abort();
  }
  return 0;
}
