// Passes arbitrary bytes to a core as a peer's message. It must neither crash nor replace a record
// by an older one.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "gaugevalve/dissemination/dissemination_core.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace gaugevalve;                 // NOLINT(google-build-using-namespace)
  using namespace gaugevalve::dissemination;  // NOLINT(google-build-using-namespace)
  base::RandomSource random(1);
  DisseminationOptions options;
  options.self = base::NodeId(1);
  options.interest.everything = true;
  DisseminationCore core(options, random);
  core.UpsertPeer({base::NodeId(2), "zone", options.interest});
  Actions actions;
  const RecordKey key{1, 0};
  core.Publish(key, {7, 0}, "some settings", base::TimePoint{}, actions);
  const RecordStamp before = core.Records().StampOf(key);
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  core.Receive(base::NodeId(2), bytes, base::TimePoint{}, actions);
  core.Tick(base::TimePoint{} + std::chrono::seconds(2), actions);
  if (core.Records().StampOf(key) < before) {
    std::abort();
  }
  return 0;
}
