// Feeds arbitrary bytes to the decoders of control messages and rosters.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "gaugevalve/control/control_message.h"
#include "gaugevalve/control/roster.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace gaugevalve::control;  // NOLINT(google-build-using-namespace)
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  const ControlMessage message = DecodeControlMessage(bytes);
  if (const auto* report = std::get_if<NumberedReport>(&message)) {
    // A decoded report must decode again after encoding.
    const ControlMessage again = DecodeControlMessage(EncodeReport(*report));
    if (!std::holds_alternative<NumberedReport>(again)) {
      std::abort();
    }
  }
  const std::optional<Roster> roster = DecodeRoster(bytes);
  if (roster.has_value() && DecodeRoster(EncodeRoster(*roster)) != roster) {
    std::abort();
  }
  return 0;
}
