// Building libevhtp answers.
#pragma once

#include <string>

extern "C" {
#include <evhtp.h>
}

namespace gaugevalve::standins {

// Returns a typed hook in the one type that libevhtp takes for all of them; it calls each hook with
// the arguments of its own type.
template <class... Arguments>
evhtp_hook AsHook(evhtp_res (*hook)(Arguments...)) {
  using AnyFunction = void (*)();
  return reinterpret_cast<evhtp_hook>(reinterpret_cast<AnyFunction>(hook));
}

// Adds a header field; both texts are copied.
void AddHeader(evhtp_request_t* request, const std::string& name, const std::string& value);

// Returns a header field of the request, "" when it isn't there.
std::string HeaderOf(evhtp_request_t* request, const char* name);

// Sends a whole answer. The caller must not touch the request afterwards.
void SendWhole(evhtp_request_t* request, int status, const std::string& content_type,
               const std::string& body);

// Sends an answer whose header states the length of `body`, but only the first half of it, and then
// closes the connection. The caller must not touch the request afterwards.
void SendCut(evhtp_request_t* request, int status, const std::string& content_type,
             const std::string& body);

}  // namespace gaugevalve::standins
