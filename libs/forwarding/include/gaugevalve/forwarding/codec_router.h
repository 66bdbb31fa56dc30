// Routes connection IDs by the keys they were made under.
#pragma once

#include <memory>
#include <optional>
#include <utility>

#include "gaugevalve/connection_id/codec.h"
#include "gaugevalve/forwarding/connection_id_router.h"

namespace gaugevalve::forwarding {

// Decodes each ID: one AES block. An ID that no agent issued gives a random node, which is in no
// table; see connection_id::Codec for what outsiders can't do. Owned by one thread.
class CodecRouter final : public ConnectionIdRouter {
 public:
  explicit CodecRouter(std::shared_ptr<const connection_id::Codec> codec)
      : codec_(std::move(codec)) {}

  // Goes by other keys from now on.
  void SetCodec(std::shared_ptr<const connection_id::Codec> codec) { codec_ = std::move(codec); }

  std::optional<base::NodeId> Route(const connection_id::ConnectionId& id) const override {
    const auto origin = codec_->Decode(id);
    return origin ? std::optional(origin->node) : std::nullopt;
  }

 private:
  std::shared_ptr<const connection_id::Codec> codec_;
};

}  // namespace gaugevalve::forwarding
