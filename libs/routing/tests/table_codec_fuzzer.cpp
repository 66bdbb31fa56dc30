// Feeds arbitrary bytes to the decoders. Accepted input must decode to the same value after
// encoding. The first byte selects the decoder.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "gaugevalve/routing/table_codec.h"

namespace gaugevalve::routing {
namespace {

template <class Value, class Decode, class Encode>
void CheckRoundTrip(std::string_view bytes, const Decode& decode, const Encode& encode) {
  const Value value = decode(bytes);
  if (decode(encode(value)) != value) {
    std::abort();
  }
}

bool SameReport(const AgentReport& left, const AgentReport& right) {
  return left.node == right.node && left.table_version == right.table_version &&
         left.flows_in_buckets == right.flows_in_buckets && left.flows_base == right.flows_base &&
         left.flow_changes == right.flow_changes && left.recent_latency == right.recent_latency;
}

void DecodeAny(std::uint8_t kind, std::string_view bytes) {
  constexpr int kKinds = 3;
  switch (kind % kKinds) {
    case 0:
      CheckRoundTrip<BucketTable>(bytes, DecodeTable, EncodeTable);
      break;
    case 1:
      CheckRoundTrip<TableDelta>(bytes, DecodeDelta, EncodeDelta);
      break;
    default: {
      const AgentReport report = DecodeReport(bytes);
      if (!SameReport(DecodeReport(EncodeReport(report)), report)) {
        std::abort();
      }
    }
  }
}

}  // namespace
}  // namespace gaugevalve::routing

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size == 0) {
    return 0;
  }
  const std::string_view bytes(reinterpret_cast<const char*>(data + 1), size - 1);
  try {
    gaugevalve::routing::DecodeAny(data[0], bytes);
  } catch (const gaugevalve::routing::DecodeError&) {
    return 0;  // most input is invalid
  }
  return 0;
}
