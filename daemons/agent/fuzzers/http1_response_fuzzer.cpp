// Fuzz target for Http1ResponseParser with arbitrary input. Checks that parsing does not crash,
// that the result is the same for the input at once and byte by byte, and that a body is not longer
// than the input.
#include <algorithm>
#include <cstdlib>

#include "http1_response_parser.h"

namespace {

using namespace gaugevalve;  // NOLINT(google-build-using-namespace)
using State = agent::Http1ResponseParser::State;

class CountingSink final : public agent::Http1ResponseSink {
 public:
  void OnResponseHead(const quic::ResponseHead&) override { ++heads; }
  void OnResponseBody(std::span<const std::uint8_t> bytes) override { body += bytes.size(); }

  int heads = 0;
  std::size_t body = 0;
};

struct Result {
  State state;
  std::size_t consumed;
  int heads;
  std::size_t body;
  friend bool operator==(const Result&, const Result&) = default;
};

Result Run(std::span<const std::uint8_t> input, std::size_t piece) {
  CountingSink sink;
  agent::Http1ResponseParser parser(sink, false);
  std::size_t consumed = 0;
  while (consumed < input.size() && parser.GetState() == State::kReading) {
    consumed += parser.Parse(input.subspan(consumed, std::min(piece, input.size() - consumed)));
  }
  return {parser.GetState(), consumed, sink.heads, sink.body};
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::span input(data, size);
  const Result at_once = Run(input, size + 1);
  const Result in_bytes = Run(input, 1);
  if (at_once.body > size || at_once.heads > 1 || at_once.state != in_bytes.state) {
    std::abort();
  }
  if (at_once.state == State::kComplete && at_once != in_bytes) {
    std::abort();
  }
  return 0;
}
