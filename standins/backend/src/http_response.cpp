#include "http_response.h"

#include <event2/buffer.h>
#include <sys/socket.h>

namespace gaugevalve::standins {
namespace {

// Ends the connection once all that was written has left. Closing the socket is left to libevhtp,
// which sees the end of the connection next.
evhtp_res EndConnection(evhtp_connection_t* connection, void* /*context*/) {
  shutdown(connection->sock, SHUT_RDWR);
  return EVHTP_RES_OK;
}

}  // namespace

void AddHeader(evhtp_request_t* request, const std::string& name, const std::string& value) {
  constexpr char kCopy = 1;
  evhtp_headers_add_header(request->headers_out,
                           evhtp_header_new(name.c_str(), value.c_str(), kCopy, kCopy));
}

std::string HeaderOf(evhtp_request_t* request, const char* name) {
  const char* const value = evhtp_header_find(request->headers_in, name);
  return value == nullptr ? "" : value;
}

void SendWhole(evhtp_request_t* request, int status, const std::string& content_type,
               const std::string& body) {
  AddHeader(request, "Content-Type", content_type);
  evbuffer_add(request->buffer_out, body.data(), body.size());
  evhtp_send_reply(request, static_cast<evhtp_res>(status));
}

void SendCut(evhtp_request_t* request, int status, const std::string& content_type,
             const std::string& body) {
  AddHeader(request, "Content-Type", content_type);
  AddHeader(request, "Content-Length", std::to_string(body.size()));
  evhtp_connection_set_hook(evhtp_request_get_connection(request), evhtp_hook_on_write,
                            AsHook(&EndConnection), nullptr);
  evhtp_send_reply_start(request, static_cast<evhtp_res>(status));
  evbuffer* const half = evbuffer_new();
  evbuffer_add(half, body.data(), body.size() / 2);
  evhtp_send_reply_body(request, half);
  evbuffer_free(half);
}

}  // namespace gaugevalve::standins
