// Serializes requests to an endpoint as HTTP/1.1 (RFC 9112).
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "gaugevalve/quic/http.h"

namespace gaugevalve::agent {

// How the end of a request's body is marked.
enum class BodyFraming : std::uint8_t {
  kNone,     // there is no body
  kLength,   // by the request's own Content-Length
  kChunked,  // by the chunked transfer coding
};

// Returns the framing of a request whose body has begun, or, when `is_empty`, has ended at once.
BodyFraming FramingOf(const quic::RequestHead& head, bool is_empty);

// Returns whether the head can be written as HTTP/1.1 without changing its meaning: no blank or
// control character in the request line or in a field. Callers' requests that fail are refused.
bool IsWritable(const quic::RequestHead& head);

// Returns the request line and header section. Fields that concern one connection are left out, and
// so are "host", which comes from the authority, and "expect".
std::string WriteRequestHead(const quic::RequestHead& head, BodyFraming framing);

// Returns the line that begins a chunk of this size (above 0).
std::string WriteChunkStart(std::size_t size);

inline constexpr char kChunkEnd[] = "\r\n";
inline constexpr char kLastChunk[] = "0\r\n\r\n";

}  // namespace gaugevalve::agent
