// Field lines in the form nghttp3 takes them.
#pragma once

#include <nghttp3/nghttp3.h>

#include <string_view>
#include <vector>

#include "gaugevalve/quic/http.h"

namespace gaugevalve::quic {

// Collects views of fields for one call of nghttp3, which copies them. What is added must outlive
// that call.
class HeaderBlockWriter {
 public:
  void Add(std::string_view name, std::string_view value);
  void Add(const HeaderFields& fields);

  const nghttp3_nv* Lines() const { return lines_.data(); }
  std::size_t size() const { return lines_.size(); }

 private:
  std::vector<nghttp3_nv> lines_;
};

}  // namespace gaugevalve::quic
