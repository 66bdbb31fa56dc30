// Walks over the type-length-value fields of a PROXY protocol header.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace gaugevalve::wire {

// Bytes of a field's type and length.
inline constexpr std::size_t kTlvPrefixSize = 3;

// One field; the value is uncopied.
struct Tlv {
  std::uint8_t type = 0;
  std::span<const std::uint8_t> value;
};

// Yields the fields in order.
class TlvReader {
 public:
  explicit TlvReader(std::span<const std::uint8_t> bytes) : rest_(bytes) {}

  // Returns the next field; nothing at the end or where a field runs past the end.
  std::optional<Tlv> Next();

  // Tells whether the fields fill the bytes exactly. Ask after the last Next().
  bool Ok() const { return rest_.empty(); }

 private:
  std::span<const std::uint8_t> rest_;
};

}  // namespace gaugevalve::wire
