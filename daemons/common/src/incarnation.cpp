#include "gaugevalve/daemon/incarnation.h"

#include <chrono>

namespace gaugevalve::daemon {

base::Incarnation MakeIncarnation() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(since_epoch);
  return base::Incarnation(static_cast<std::uint64_t>(microseconds.count()));
}

}  // namespace gaugevalve::daemon
