// Connection IDs that name the agent which issued them, readable only with the key.
#pragma once

#include <nettle/aes.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/connection_id/connection_id.h"
#include "gaugevalve/connection_id/key_set.h"

namespace gaugevalve::connection_id {

// Length of every ID an agent issues: one octet with the config rotation bits, one AES block.
inline constexpr std::size_t kRoutableIdLength = 17;

// A value that proves to a caller that its connection is gone (RFC 9000, section 10.3).
using StatelessResetToken = std::array<std::uint8_t, 16>;

// What an ID says under its key.
struct Origin {
  base::NodeId node;                    // the agent that issued the ID
  std::uint32_t short_incarnation = 0;  // see ShortIncarnation()
  std::uint32_t nonce = 0;              // makes each ID of one life of an agent a different one

  friend bool operator==(const Origin&, const Origin&) = default;
};

// Returns 32 bits that tell lives of one agent apart: about milliseconds (1.024 ms) of its start,
// which come round after 50 days.
std::uint32_t ShortIncarnation(base::Incarnation incarnation);

// Encrypts and decrypts IDs in the manner of the QUIC-LB draft's single-pass encryption: the first
// octet holds the slot of the key in its three high bits and the length of the rest in the others;
// then one AES-128 block over node (64 bits), short incarnation (32) and nonce (32).
//
// What holds without the key: an ID not issued by an agent decodes to a uniformly random node, so a
// guess hits one of n live agents with probability n / 2^64, and nothing can be learnt or changed
// in an ID one has seen. What doesn't: an ID that was seen can be replayed, and reaches the agent
// it was issued by, which drops what it can't authenticate. Whether the node is one in service is
// for the caller to check. Immutable; safe to share between threads.
class Codec {
 public:
  explicit Codec(const KeySet& keys);

  // Returns the ID of `origin` under the key in use. Throws std::logic_error without any key.
  ConnectionId Encode(const Origin& origin) const;

  // Returns what the ID says; nothing when it has another length or names no key.
  std::optional<Origin> Decode(const ConnectionId& id) const;

  // Returns the reset token of an ID of this service. Any agent of the service can give it for an
  // agent that is gone; an agent must not send it for a connection that may live elsewhere. IDs
  // under a key that isn't known have none.
  std::optional<StatelessResetToken> ResetToken(base::ServiceId service,
                                                const ConnectionId& id) const;

  // Returns the slot of the key that the ID was made under, if it has a routable ID's form.
  static std::optional<std::size_t> SlotOf(const ConnectionId& id);

 private:
  struct Schedule {
    aes128_ctx encrypt;
    aes128_ctx decrypt;
  };

  KeySet keys_;
  std::array<std::optional<Schedule>, kKeySlots> schedules_;
};

}  // namespace gaugevalve::connection_id
