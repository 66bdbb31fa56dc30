// The parts of HTTP messages, free of any version's wire format.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace gaugevalve::quic {

// Error codes of HTTP/3 (RFC 9114, section 8.1) that this project gives or acts upon. Any other
// value may arrive from a peer.
enum class Http3Error : std::uint64_t {
  kNoError = 0x100,
  kInternalError = 0x102,
  kExcessiveLoad = 0x107,
  kRequestRejected = 0x10b,    // not processed at all: may be sent again
  kRequestCancelled = 0x10c,   // no longer wanted; may have been processed
  kRequestIncomplete = 0x10d,  // the peer ended its message early
  kMessageError = 0x10e,
};

// One field of a message. Names are lower-case (RFC 9114, section 4.2).
struct HeaderField {
  std::string name;
  std::string value;

  friend bool operator==(const HeaderField&, const HeaderField&) = default;
};

using HeaderFields = std::vector<HeaderField>;

// Returns the value of the first field with this lower-case name, or an empty view.
std::string_view FindField(const HeaderFields& fields, std::string_view name);

// The head of a request.
struct RequestHead {
  std::string method;
  std::string scheme = "https";
  std::string authority;
  std::string path;
  HeaderFields fields;  // without the pseudo-header fields
};

// The head of an answer.
struct ResponseHead {
  int status = 0;
  HeaderFields fields;  // without the pseudo-header fields
};

}  // namespace gaugevalve::quic
