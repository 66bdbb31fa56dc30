#include "gaugevalve/http_client/http_exchange.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

#include <charconv>
#include <new>
#include <utility>

namespace gaugevalve::http_client {
namespace {

constexpr int kHttpOk = 200;
constexpr timeval kNoTimeout{365L * 24 * 3600, 0};  // libevent has no "never"

const char* Describe(evhttp_request_error error) {
  switch (error) {
    case EVREQ_HTTP_TIMEOUT:
      return "timed out";
    case EVREQ_HTTP_EOF:
      return "connection closed";
    case EVREQ_HTTP_INVALID_HEADER:
      return "malformed HTTP header";
    case EVREQ_HTTP_BUFFER_ERROR:
      return "connection reset";
    case EVREQ_HTTP_REQUEST_CANCEL:
      return "cancelled";
    case EVREQ_HTTP_DATA_TOO_LONG:
      return "answer too long";
  }
  return "unknown HTTP error";
}

std::string AddressText(const base::SocketAddress& address) {
  const std::string text = address.ToString();
  const std::string host = text.substr(0, text.rfind(':'));
  return host.front() == '[' ? host.substr(1, host.size() - 2) : host;
}

std::string TakeBytes(evbuffer* buffer) {
  std::string bytes(evbuffer_get_length(buffer), '\0');
  evbuffer_remove(buffer, bytes.data(), bytes.size());
  return bytes;
}

std::optional<base::Duration> RetryAfter(evhttp_request* request) {
  const char* value = evhttp_find_header(evhttp_request_get_input_headers(request), "Retry-After");
  if (value == nullptr) {
    return std::nullopt;
  }
  const std::string_view text(value);
  unsigned seconds = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), seconds);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
    return std::nullopt;  // the form with a date isn't used by stores
  }
  return std::chrono::seconds(seconds);
}

}  // namespace

HttpExchange::HttpExchange(event_base* base, const base::SocketAddress& address, Kind kind,
                           HttpExchangeObserver& observer)
    : address_(address),
      kind_(kind),
      observer_(observer),
      connection_(
          evhttp_connection_base_new(base, nullptr, AddressText(address).c_str(), address.port)) {
  if (connection_ == nullptr) {
    throw std::bad_alloc();
  }
  evhttp_connection_set_timeout_tv(connection_.get(), &kNoTimeout);
  if (kind_ == Kind::kAnswer) {
    evhttp_connection_set_max_body_size(connection_.get(), kBodyLimit);
  }
}

HttpExchange::~HttpExchange() { Cancel(); }

bool HttpExchange::Start(const HttpRequest& request) {
  error_words_.clear();
  request_ = evhttp_request_new(&HttpExchange::OnDone, this);
  if (request_ == nullptr) {
    throw std::bad_alloc();
  }
  evhttp_request_set_error_cb(request_, &HttpExchange::OnError);
  if (kind_ == Kind::kStream) {
    evhttp_request_set_chunked_cb(request_, &HttpExchange::OnChunk);
  }
  AddContent(request_, request);
  const evhttp_cmd_type method = request.method == Method::kGet ? EVHTTP_REQ_GET : EVHTTP_REQ_POST;
  if (evhttp_make_request(connection_.get(), request_, method, request.path.c_str()) != 0) {
    request_ = nullptr;  // libevent leaves its memory to nobody here; freeing it isn't allowed
    return false;
  }
  return true;
}

void HttpExchange::Cancel() {
  if (request_ != nullptr) {
    evhttp_cancel_request(std::exchange(request_, nullptr));
  }
}

void HttpExchange::OnDone(evhttp_request* request, void* self) {
  static_cast<HttpExchange*>(self)->Finish(request);
}

void HttpExchange::OnError(evhttp_request_error error, void* self) {
  auto* exchange = static_cast<HttpExchange*>(self);
  if (error != EVREQ_HTTP_REQUEST_CANCEL) {
    exchange->error_words_ = Describe(error);
  }
}

void HttpExchange::OnChunk(evhttp_request* request, void* self) {
  auto* exchange = static_cast<HttpExchange*>(self);
  if (evhttp_request_get_response_code(request) == kHttpOk) {
    exchange->observer_.OnBodyPiece(TakeBytes(evhttp_request_get_input_buffer(request)));
  }
}

void HttpExchange::AddContent(evhttp_request* request, const HttpRequest& content) const {
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", address_.ToString().c_str());
  if (content.method == Method::kPost) {
    evhttp_add_header(headers, "Content-Type", "application/json");
    evhttp_add_header(headers, "Content-Length", std::to_string(content.body.size()).c_str());
    evbuffer_add(evhttp_request_get_output_buffer(request), content.body.data(),
                 content.body.size());
  }
}

void HttpExchange::Finish(evhttp_request* request) {
  request_ = nullptr;
  if (!error_words_.empty()) {
    observer_.OnHttpFailure(TransportFailure::kMaybeSent, error_words_);
    return;
  }
  const int status = request == nullptr ? 0 : evhttp_request_get_response_code(request);
  if (status == 0) {
    // libevent reports a failed connect by a request without status and without an error.
    observer_.OnHttpFailure(TransportFailure::kNotSent, "can't connect to " + address_.ToString());
    return;
  }
  observer_.OnHttpAnswer(
      {status, TakeBytes(evhttp_request_get_input_buffer(request)), RetryAfter(request)});
}

}  // namespace gaugevalve::http_client
