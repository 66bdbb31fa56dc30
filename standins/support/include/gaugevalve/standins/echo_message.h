// The payloads of the `datagram` stand-in service: a numbered request, and its echo.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace gaugevalve::standins {

// A caller's request. The service name lets an endpoint notice what isn't meant for it.
struct EchoRequest {
  std::string service;       // the service the caller means to reach
  std::uint64_t flow = 0;    // the caller's number of this flow
  std::uint64_t number = 0;  // counts from 1 within the flow

  friend bool operator==(const EchoRequest&, const EchoRequest&) = default;
};

// An endpoint's answer: the request, and who answered.
struct EchoAnswer {
  EchoRequest request;
  std::string endpoint;          // the endpoint's configured name
  std::string endpoint_service;  // the service the endpoint belongs to

  friend bool operator==(const EchoAnswer&, const EchoAnswer&) = default;
};

// Returns the request as JSON, with blanks added up to `minimum_bytes`.
std::vector<std::uint8_t> EncodeEchoRequest(const EchoRequest& request, std::size_t minimum_bytes);

// Returns the answer as JSON.
std::vector<std::uint8_t> EncodeEchoAnswer(const EchoAnswer& answer);

// Return what the bytes hold, or nothing when they are not such a message.
std::optional<EchoRequest> DecodeEchoRequest(std::span<const std::uint8_t> bytes);
std::optional<EchoAnswer> DecodeEchoAnswer(std::span<const std::uint8_t> bytes);

}  // namespace gaugevalve::standins
