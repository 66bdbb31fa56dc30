// Cuts a watch stream's bytes into messages.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "gaugevalve/store/response.h"

namespace gaugevalve::store {

// Reassembles the newline-separated JSON messages of one stream, whatever pieces they come in.
class WatchStreamDecoder {
 public:
  // A longer message ends the stream: what one stream may make us hold is bounded.
  static constexpr std::size_t kDefaultMessageLimit = std::size_t{8} * 1024 * 1024;

  explicit WatchStreamDecoder(std::size_t message_limit = kDefaultMessageLimit)
      : message_limit_(message_limit) {}

  // Appends bytes and returns the frames they complete. Throws base::FindingsError when a message
  // is malformed or too long; the stream is of no use after that.
  std::vector<WatchFrame> Append(std::string_view bytes);

 private:
  std::size_t message_limit_;
  std::string partial_;
};

}  // namespace gaugevalve::store
