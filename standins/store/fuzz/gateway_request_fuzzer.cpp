// Feeds requests to the stand-in's decoder and, when they can be read, to its store. The first
// byte chooses the path.
#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "gateway_codec.h"

namespace {

namespace standins = gaugevalve::standins;

void Handle(std::string_view path, std::string_view body) {
  if (path == "/v3/watch") {
    standins::DecodeWatchRequest(body);
    return;
  }
  const auto request = standins::DecodeRequest(path, body);
  if (request) {
    standins::MvccStore store;
    standins::EncodeResponse(store.Apply(*request, gaugevalve::base::TimePoint{}));
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  static constexpr std::array<std::string_view, 8> kPaths{
      "/v3/kv/range",    "/v3/kv/put",          "/v3/kv/deleterange", "/v3/kv/txn",
      "/v3/lease/grant", "/v3/lease/keepalive", "/v3/lease/revoke",   "/v3/watch"};
  if (size == 0) {
    return 0;
  }
  const std::string_view body(reinterpret_cast<const char*>(data + 1), size - 1);
  try {
    Handle(kPaths.at((data[0] - '0') % kPaths.size()), body);
  } catch (const standins::StoreError&) {
    // What a malformed or refused request must lead to.
  }
  return 0;
}
