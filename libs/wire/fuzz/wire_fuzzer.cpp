// Feeds arbitrary bytes to the decoders of the data path. What decodes must encode again to bytes
// that decode to the same, and every span must lie within the input.

#include <array>
#include <cstdint>
#include <cstdlib>
#include <span>
#include <variant>

#include "gaugevalve/wire/forwarding_header.h"
#include "gaugevalve/wire/proxy_datagram.h"

namespace {

using gaugevalve::wire::Decoded;
using gaugevalve::wire::ForwardingHeader;
using gaugevalve::wire::ProxyDatagram;

void Require(bool condition) {
  if (!condition) {
    std::abort();
  }
}

void CheckSpans(std::span<const std::uint8_t> input, const ProxyDatagram& datagram) {
  Require(datagram.payload.size() + datagram.fields.size() <= input.size());
  Require(datagram.payload.data() + datagram.payload.size() == input.data() + input.size());
}

void CheckRoundTrip(const ProxyDatagram& datagram, const ForwardingHeader& header) {
  std::array<std::uint8_t, gaugevalve::wire::kMaxForwardedHeaderSize> buffer;
  const std::size_t size = gaugevalve::wire::EncodeForwardedHeader(buffer, datagram.source,
                                                                   datagram.destination, header);
  const Decoded<ProxyDatagram> again =
      gaugevalve::wire::DecodeProxyDatagram(std::span(buffer).first(size));
  const auto* const decoded = std::get_if<ProxyDatagram>(&again);
  Require(decoded != nullptr && decoded->source == datagram.source &&
          decoded->destination == datagram.destination && decoded->payload.empty());
  const Decoded<ForwardingHeader> header_again =
      gaugevalve::wire::DecodeForwardingHeader(decoded->fields);
  const auto* const decoded_header = std::get_if<ForwardingHeader>(&header_again);
  Require(decoded_header != nullptr && *decoded_header == header);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::span<const std::uint8_t> input(data, size);
  const Decoded<ProxyDatagram> decoded = gaugevalve::wire::DecodeProxyDatagram(input);
  if (const auto* const datagram = std::get_if<ProxyDatagram>(&decoded)) {
    CheckSpans(input, *datagram);
    const Decoded<ForwardingHeader> header =
        gaugevalve::wire::DecodeForwardingHeader(datagram->fields);
    if (const auto* const value = std::get_if<ForwardingHeader>(&header)) {
      CheckRoundTrip(*datagram, *value);
    }
  }
  return 0;
}
