// The server's side of the etcd v3 JSON gateway: requests read, answers written.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "gaugevalve/store/codec.h"
#include "gaugevalve/store/request.h"
#include "gaugevalve/store/response.h"
#include "mvcc_store.h"

namespace gaugevalve::standins {

// Reads the request posted to `path`. Returns nothing for an unknown path; throws StoreError
// (kInvalidArgument) for a body it can't read.
std::optional<store::Request> DecodeRequest(std::string_view path, std::string_view body);

// Reads the request posted to /v3/watch. Throws StoreError (kInvalidArgument).
store::WatchRequest DecodeWatchRequest(std::string_view body);

std::string EncodeResponse(const store::Response& response);
std::string EncodeWatchFrame(const store::WatchFrame& frame);

// Returns the body of an error answer.
std::string EncodeError(store::StatusCode code, const std::string& message);

// Returns the HTTP status that the gateway gives for a gRPC status.
int HttpStatus(store::StatusCode code);

}  // namespace gaugevalve::standins
