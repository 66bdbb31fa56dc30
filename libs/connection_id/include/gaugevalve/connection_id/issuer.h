// Where an agent's new connection IDs come from.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/connection_id/codec.h"
#include "gaugevalve/connection_id/connection_id.h"

namespace gaugevalve::connection_id {

// Issues the IDs of one life of one agent, no two alike. Not thread-safe.
class Issuer {
 public:
  // `first_nonce` should be random: two lives of an agent that share a short incarnation then still
  // issue different IDs with high probability.
  Issuer(std::shared_ptr<const Codec> codec, base::ServiceId service, base::NodeId node,
         base::Incarnation incarnation, std::uint32_t first_nonce);

  // Returns a new ID. Throws std::length_error after 2^32 IDs: the agent must then be restarted,
  // which at 100 IDs a second is 16 months away.
  ConnectionId Issue();

  // Returns the reset token of an ID, see Codec::ResetToken().
  std::optional<StatelessResetToken> ResetToken(const ConnectionId& id) const;

  // Replaces the keys: IDs from now on are made under the new set's active key.
  void SetCodec(std::shared_ptr<const Codec> codec) { codec_ = std::move(codec); }

  const Codec& codec() const { return *codec_; }  // NOLINT(readability-identifier-naming)

 private:
  std::shared_ptr<const Codec> codec_;
  base::ServiceId service_;
  base::NodeId node_;
  std::uint32_t short_incarnation_;
  std::uint32_t first_nonce_;
  std::uint64_t issued_ = 0;
};

}  // namespace gaugevalve::connection_id
