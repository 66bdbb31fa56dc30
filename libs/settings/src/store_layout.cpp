#include "gaugevalve/settings/store_layout.h"

namespace gaugevalve::settings {

std::string SubtreeKey(std::string_view service) {
  return std::string(kSubtreePrefix) + std::string(service);
}

std::string HistoryKey(base::Revision revision) {
  constexpr std::size_t kWidth = 12;
  const std::string digits = std::to_string(revision.value());
  const std::size_t padding = digits.size() < kWidth ? kWidth - digits.size() : 0;
  return std::string(kHistoryPrefix) + std::string(padding, '0') + digits;
}

}  // namespace gaugevalve::settings
