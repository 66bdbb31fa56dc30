// Passes arbitrary answers to the parser. A parsed list must be unchanged after formatting and
// parsing it again.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "gaugevalve/machines/machine_list.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  namespace machines = gaugevalve::machines;
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  machines::MachineList list;
  try {
    list = machines::ParseMachineList(text).list;
  } catch (const gaugevalve::base::FindingsError&) {
    return 0;
  }
  if (machines::ParseMachineList(machines::FormatMachineList(list)).list != list) {
    std::abort();
  }
  return 0;
}
