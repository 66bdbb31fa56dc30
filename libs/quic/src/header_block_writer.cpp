#include "header_block_writer.h"

namespace gaugevalve::quic {
namespace {

// nghttp3 takes mutable pointers and doesn't write through them.
std::uint8_t* MutableBytes(std::string_view text) {
  return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data()));
}

}  // namespace

void HeaderBlockWriter::Add(std::string_view name, std::string_view value) {
  lines_.push_back(
      {MutableBytes(name), MutableBytes(value), name.size(), value.size(), NGHTTP3_NV_FLAG_NONE});
}

void HeaderBlockWriter::Add(const HeaderFields& fields) {
  for (const HeaderField& field : fields) {
    Add(field.name, field.value);
  }
}

}  // namespace gaugevalve::quic
