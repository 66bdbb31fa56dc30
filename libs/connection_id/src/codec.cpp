#include "gaugevalve/connection_id/codec.h"

#include <nettle/hmac.h>

#include <algorithm>
#include <span>
#include <stdexcept>
#include <string_view>

namespace gaugevalve::connection_id {
namespace {

constexpr int kSlotShift = 5;               // the three high bits of the first octet
constexpr std::uint8_t kLengthMask = 0x1f;  // the others: length of the rest of the ID
constexpr std::size_t kBlockLength = AES_BLOCK_SIZE;
static_assert(kRoutableIdLength == 1 + kBlockLength);

constexpr std::string_view kResetTokenLabel = "gaugevalve stateless reset token";

using Block = std::array<std::uint8_t, kBlockLength>;

template <class Number>
void StoreBigEndian(Number value, std::uint8_t* destination) {
  for (std::size_t index = sizeof(Number); index > 0; --index) {
    destination[index - 1] = static_cast<std::uint8_t>(value);
    value = static_cast<Number>(value >> 8);
  }
}

template <class Number>
Number LoadBigEndian(const std::uint8_t* source) {
  Number value = 0;
  for (std::size_t index = 0; index < sizeof(Number); ++index) {
    value = static_cast<Number>((value << 8) | source[index]);
  }
  return value;
}

constexpr std::size_t kIncarnationOffset = sizeof(std::uint64_t);
constexpr std::size_t kNonceOffset = kIncarnationOffset + sizeof(std::uint32_t);

}  // namespace

std::uint32_t ShortIncarnation(base::Incarnation incarnation) {
  constexpr int kMicrosecondsToAboutMilliseconds = 10;
  return static_cast<std::uint32_t>(incarnation.value() >> kMicrosecondsToAboutMilliseconds);
}

Codec::Codec(const KeySet& keys) : keys_(keys) {
  for (std::size_t slot = 0; slot < kKeySlots; ++slot) {
    const Key* key = keys_.Find(slot);
    if (key == nullptr) {
      continue;
    }
    Schedule& schedule = schedules_[slot].emplace();
    aes128_set_encrypt_key(&schedule.encrypt, key->data());
    aes128_set_decrypt_key(&schedule.decrypt, key->data());
  }
}

ConnectionId Codec::Encode(const Origin& origin) const {
  const auto slot = keys_.ActiveSlot();
  if (!slot) {
    throw std::logic_error("connection IDs can't be issued without a key");
  }
  Block plain{};
  StoreBigEndian(origin.node.value(), plain.data());
  StoreBigEndian(origin.short_incarnation, plain.data() + kIncarnationOffset);
  StoreBigEndian(origin.nonce, plain.data() + kNonceOffset);
  std::array<std::uint8_t, kRoutableIdLength> bytes{};
  bytes[0] = static_cast<std::uint8_t>((*slot << kSlotShift) | kBlockLength);
  aes128_encrypt(&schedules_[*slot]->encrypt, kBlockLength, bytes.data() + 1, plain.data());
  return *ConnectionId::FromBytes(bytes);
}

std::optional<std::size_t> Codec::SlotOf(const ConnectionId& id) {
  const auto bytes = id.bytes();
  if (bytes.size() != kRoutableIdLength || (bytes[0] & kLengthMask) != kBlockLength) {
    return std::nullopt;
  }
  const std::size_t slot = bytes[0] >> kSlotShift;
  return slot < kKeySlots ? std::optional(slot) : std::nullopt;
}

std::optional<Origin> Codec::Decode(const ConnectionId& id) const {
  const auto slot = SlotOf(id);
  if (!slot || !schedules_[*slot]) {
    return std::nullopt;
  }
  Block plain{};
  aes128_decrypt(&schedules_[*slot]->decrypt, kBlockLength, plain.data(), id.bytes().data() + 1);
  return Origin{base::NodeId(LoadBigEndian<std::uint64_t>(plain.data())),
                LoadBigEndian<std::uint32_t>(plain.data() + kIncarnationOffset),
                LoadBigEndian<std::uint32_t>(plain.data() + kNonceOffset)};
}

std::optional<StatelessResetToken> Codec::ResetToken(base::ServiceId service,
                                                     const ConnectionId& id) const {
  const auto slot = SlotOf(id);
  const Key* key = slot ? keys_.Find(*slot) : nullptr;
  if (key == nullptr) {
    return std::nullopt;
  }
  std::array<std::uint8_t, sizeof(std::uint32_t)> service_bytes{};
  StoreBigEndian(service.value(), service_bytes.data());
  hmac_sha256_ctx context{};
  hmac_sha256_set_key(&context, key->size(), key->data());
  hmac_sha256_update(&context, kResetTokenLabel.size(),
                     reinterpret_cast<const std::uint8_t*>(kResetTokenLabel.data()));
  hmac_sha256_update(&context, service_bytes.size(), service_bytes.data());
  hmac_sha256_update(&context, id.bytes().size(), id.bytes().data());
  StatelessResetToken token{};
  hmac_sha256_digest(&context, token.size(), token.data());
  return token;
}

}  // namespace gaugevalve::connection_id
