// The etcd v3 JSON gateway's encoding: proto3 JSON, 64-bit numbers as strings, bytes as base64.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "gaugevalve/base/finding.h"
#include "gaugevalve/store/request.h"
#include "gaugevalve/store/response.h"

namespace gaugevalve::store {

// A request ready to be posted.
struct EncodedRequest {
  std::string path;  // as in "/v3/kv/range"
  std::string body;  // JSON

  friend bool operator==(const EncodedRequest&, const EncodedRequest&) = default;
};

EncodedRequest EncodeRequest(const Request& request);
EncodedRequest EncodeWatchRequest(const WatchRequest& request);

// Decodes the body of a 200 answer to `request`. Absent fields are zero, as proto3 has it; unknown
// ones are skipped. Throws base::FindingsError with every fault found.
Response DecodeResponse(const Request& request, std::string_view body);

// Decodes one message of a watch stream. Throws base::FindingsError.
WatchFrame DecodeWatchFrame(std::string_view message);

// The gRPC status codes that the gateway passes on and that are told apart here.
enum class StatusCode : std::uint8_t {
  kUnknown = 2,
  kInvalidArgument = 3,
  kNotFound = 5,
  kResourceExhausted = 8,
  kFailedPrecondition = 9,
  kOutOfRange = 11,
  kUnavailable = 14,
};

// The body of an error answer.
struct ErrorAnswer {
  int code = 0;  // gRPC status code, 0 when there was none
  std::string message;
};

// Decodes the body of an error answer. Never throws: an unreadable body has code 0 and its first
// bytes as the message.
ErrorAnswer DecodeErrorAnswer(std::string_view body);

}  // namespace gaugevalve::store
