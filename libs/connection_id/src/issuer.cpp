#include "gaugevalve/connection_id/issuer.h"

#include <limits>
#include <stdexcept>
#include <utility>

namespace gaugevalve::connection_id {

Issuer::Issuer(std::shared_ptr<const Codec> codec, base::ServiceId service, base::NodeId node,
               base::Incarnation incarnation, std::uint32_t first_nonce)
    : codec_(std::move(codec)),
      service_(service),
      node_(node),
      short_incarnation_(ShortIncarnation(incarnation)),
      first_nonce_(first_nonce) {}

ConnectionId Issuer::Issue() {
  if (issued_ > std::numeric_limits<std::uint32_t>::max()) {
    throw std::length_error("all connection IDs of this incarnation are used up");
  }
  const auto nonce = static_cast<std::uint32_t>(first_nonce_ + issued_);
  ++issued_;
  return codec_->Encode({node_, short_incarnation_, nonce});
}

std::optional<StatelessResetToken> Issuer::ResetToken(const ConnectionId& id) const {
  return codec_->ResetToken(service_, id);
}

}  // namespace gaugevalve::connection_id
