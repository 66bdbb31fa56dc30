#include "admin_fetcher.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <new>

namespace gaugevalve::ctl {
namespace {

struct EventBaseDeleter {
  void operator()(event_base* base) const { event_base_free(base); }
};

struct ConnectionDeleter {
  void operator()(evhttp_connection* connection) const { evhttp_connection_free(connection); }
};

std::string HostOf(const base::SocketAddress& address) {
  const std::string text = address.ToString();
  const std::string host = text.substr(0, text.rfind(':'));
  const bool is_bracketed = address.family == base::AddressFamily::kIpv6;
  return is_bracketed ? host.substr(1, host.size() - 2) : host;
}

timeval ToTimeval(base::Duration duration) {
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(duration);
  const base::Duration rest = duration - seconds;
  return {static_cast<time_t>(seconds.count()), static_cast<suseconds_t>(rest.count())};
}

// One GET.
class OneFetch {
 public:
  OneFetch(event_base* base, AdminAnswer& answer, base::Duration timeout) : answer_(answer) {
    connection_.reset(evhttp_connection_base_new(base, nullptr, HostOf(answer.address).c_str(),
                                                 answer.address.port));
    if (connection_ == nullptr) {
      throw std::bad_alloc();
    }
    const timeval limit = ToTimeval(timeout);
    evhttp_connection_set_timeout_tv(connection_.get(), &limit);
    evhttp_connection_set_max_body_size(connection_.get(),
                                        static_cast<ev_ssize_t>(AdminFetcher::kMaxBodyBytes));
  }

  void Start(const std::string& path) {
    evhttp_request* const request = evhttp_request_new(&OneFetch::OnDone, this);
    if (request == nullptr) {
      throw std::bad_alloc();
    }
    evkeyvalq* const headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", answer_.address.ToString().c_str());
    evhttp_add_header(headers, "Connection", "close");
    // The connection owns the request from here on, also when this fails.
    if (evhttp_make_request(connection_.get(), request, EVHTTP_REQ_GET, path.c_str()) != 0) {
      answer_.error = "could not be asked";
    }
  }

 private:
  static void OnDone(evhttp_request* request, void* self) {
    AdminAnswer& answer = static_cast<OneFetch*>(self)->answer_;
    if (request == nullptr || evhttp_request_get_response_code(request) == 0) {
      answer.error = "does not answer";
      return;
    }
    answer.status = evhttp_request_get_response_code(request);
    evbuffer* const body = evhttp_request_get_input_buffer(request);
    answer.body.resize(evbuffer_get_length(body));
    evbuffer_copyout(body, answer.body.data(), answer.body.size());
  }

  AdminAnswer& answer_;
  std::unique_ptr<evhttp_connection, ConnectionDeleter> connection_;
};

}  // namespace

std::vector<AdminAnswer> AdminFetcher::Fetch(const std::vector<base::SocketAddress>& addresses,
                                             const std::string& path) const {
  std::vector<AdminAnswer> answers;
  answers.reserve(addresses.size());
  for (const base::SocketAddress& address : addresses) {
    answers.push_back({address, 0, "", ""});
  }
  for (std::size_t start = 0; start < answers.size(); start += kConcurrency) {
    const std::unique_ptr<event_base, EventBaseDeleter> base(event_base_new());
    if (base == nullptr) {
      throw std::bad_alloc();
    }
    std::vector<std::unique_ptr<OneFetch>> running;
    const std::size_t end = std::min(start + kConcurrency, answers.size());
    for (std::size_t index = start; index < end; ++index) {
      running.push_back(std::make_unique<OneFetch>(base.get(), answers[index], timeout_));
      running.back()->Start(path);
    }
    event_base_dispatch(base.get());  // returns when no request is left
  }
  return answers;
}

}  // namespace gaugevalve::ctl
