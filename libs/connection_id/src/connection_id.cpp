#include "gaugevalve/connection_id/connection_id.h"

namespace gaugevalve::connection_id {

std::string ConnectionId::ToString() const {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  text.reserve(2 * std::size_t{size_});
  for (const std::uint8_t byte : bytes()) {
    text.push_back(kDigits[byte >> 4]);
    text.push_back(kDigits[byte & 0x0f]);
  }
  return text;
}

}  // namespace gaugevalve::connection_id
