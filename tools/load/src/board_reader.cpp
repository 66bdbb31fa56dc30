#include "board_reader.h"

#include <charconv>
#include <string_view>

namespace gaugevalve::load {
namespace {

constexpr std::string_view kNumberField = "id: ";

}  // namespace

void BoardReader::Read(std::span<const std::uint8_t> bytes) {
  for (const std::uint8_t byte : bytes) {
    if (byte == '\n') {
      OnLine();
      line_.clear();
    } else if (line_.size() < kMaxLineBytes) {
      line_.push_back(static_cast<char>(byte));
    }
  }
}

void BoardReader::OnLine() {
  if (line_.compare(0, kNumberField.size(), kNumberField) != 0) {
    return;
  }
  std::uint64_t number = 0;
  std::from_chars(line_.data() + kNumberField.size(), line_.data() + line_.size(), number);
  if (events_ > 0 && number != last_number_ + 1) {
    ++gaps_;
  }
  last_number_ = number;
  ++events_;
}

}  // namespace gaugevalve::load
