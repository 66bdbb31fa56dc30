#include "gaugevalve/store/watch_stream_decoder.h"

#include "absl/strings/str_cat.h"
#include "gaugevalve/base/finding.h"
#include "gaugevalve/store/codec.h"

namespace gaugevalve::store {

std::vector<WatchFrame> WatchStreamDecoder::Append(std::string_view bytes) {
  std::vector<WatchFrame> frames;
  while (!bytes.empty()) {
    const std::size_t end = bytes.find('\n');
    partial_.append(bytes.substr(0, end));
    if (partial_.size() > message_limit_) {
      throw base::FindingsError(
          {{{"store", 0, 0, "watch"}, absl::StrCat("message is over ", message_limit_, " bytes")}});
    }
    if (end == std::string_view::npos) {
      break;
    }
    bytes.remove_prefix(end + 1);
    if (!partial_.empty()) {
      frames.push_back(DecodeWatchFrame(partial_));
    }
    partial_.clear();
  }
  return frames;
}

}  // namespace gaugevalve::store
