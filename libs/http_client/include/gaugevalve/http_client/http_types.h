// What is asked and answered over HTTP, as plain values for the decision cores.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "gaugevalve/base/time.h"

namespace gaugevalve::http_client {

// The methods the platform's services need.
enum class Method : std::uint8_t { kGet, kPost };

// One request.
struct HttpRequest {
  Method method = Method::kGet;
  std::string path;  // with the query, if any
  std::string body;  // JSON; only for kPost
};

// The whole answer to a request.
struct HttpAnswer {
  int status = 0;
  std::string body;
  std::optional<base::Duration> retry_after{};  // from the header, when it was in seconds
};

// What is known about a request that got no whole answer.
enum class TransportFailure : std::uint8_t {
  kNotSent,    // no byte reached the server
  kMaybeSent,  // the server may have the request
};

}  // namespace gaugevalve::http_client
