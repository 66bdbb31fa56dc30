// Feeds the store's answers to the decoders: the first byte chooses the kind of answer.
#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "gaugevalve/base/finding.h"
#include "gaugevalve/store/codec.h"
#include "gaugevalve/store/watch_stream_decoder.h"

namespace {

namespace store = gaugevalve::store;

void DecodeStream(std::string_view bytes) {
  constexpr std::size_t kPiece = 5;
  store::WatchStreamDecoder decoder(/*message_limit=*/1024);
  for (std::size_t at = 0; at < bytes.size(); at += kPiece) {
    decoder.Append(bytes.substr(at, kPiece));
  }
}

void DecodeAny(std::uint8_t kind, std::string_view bytes) {
  static const std::array<store::Request, 7> requests{
      store::RangeRequest{},      store::PutRequest{},        store::DeleteRangeRequest{},
      store::TxnRequest{},        store::LeaseGrantRequest{}, store::LeaseKeepAliveRequest{},
      store::LeaseRevokeRequest{}};
  if (kind < requests.size()) {
    store::DecodeResponse(requests[kind], bytes);
  } else {
    DecodeStream(bytes);
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  constexpr std::uint8_t kKinds = 8;
  if (size == 0) {
    return 0;
  }
  const std::string_view bytes(reinterpret_cast<const char*>(data + 1), size - 1);
  store::DecodeErrorAnswer(bytes);
  try {
    DecodeAny(static_cast<std::uint8_t>((data[0] - '0') % kKinds), bytes);
  } catch (const gaugevalve::base::FindingsError&) {
    // What a malformed answer must lead to.
  }
  return 0;
}
