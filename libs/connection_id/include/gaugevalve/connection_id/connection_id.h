// A QUIC connection ID as a plain value.
#pragma once

#include <algorithm>
#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <ostream>
#include <span>
#include <string>
#include <utility>

namespace gaugevalve::connection_id {

// The longest connection ID of QUIC version 1 (RFC 9000, section 17.2), in bytes.
inline constexpr std::size_t kMaxConnectionIdLength = 20;

// Up to 20 bytes that name a connection to the endpoint that chose them. Bytes past `size` are
// zero, so that equality and hashing are those of the whole object.
class ConnectionId {
 public:
  ConnectionId() = default;

  // Returns the ID with these bytes, or nothing when there are more than kMaxConnectionIdLength.
  static std::optional<ConnectionId> FromBytes(std::span<const std::uint8_t> bytes) {
    if (bytes.size() > kMaxConnectionIdLength) {
      return std::nullopt;
    }
    ConnectionId id;
    std::copy(bytes.begin(), bytes.end(), id.bytes_.begin());
    id.size_ = static_cast<std::uint8_t>(bytes.size());
    return id;
  }

  std::span<const std::uint8_t> bytes() const {  // NOLINT(readability-identifier-naming)
    return {bytes_.data(), size_};
  }

  // Returns the bytes in hexadecimal, for logs.
  std::string ToString() const;

  friend auto operator<=>(const ConnectionId&, const ConnectionId&) = default;

  friend std::ostream& operator<<(std::ostream& stream, const ConnectionId& id) {
    return stream << id.ToString();
  }

  template <class HashState>
  friend HashState AbslHashValue(HashState state, const ConnectionId& id) {
    return HashState::combine(std::move(state), id.bytes_, id.size_);
  }

 private:
  std::array<std::uint8_t, kMaxConnectionIdLength> bytes_{};
  std::uint8_t size_ = 0;
};

}  // namespace gaugevalve::connection_id
