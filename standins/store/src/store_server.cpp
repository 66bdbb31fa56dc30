#include "store_server.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "gateway_codec.h"

namespace gaugevalve::standins {
namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpNotFound = 404;
constexpr base::Duration kTimerInterval =
    std::chrono::milliseconds(100);  // lease expiry and progress; not the answers' path

std::string HostText(const base::SocketAddress& address) {
  const std::string text = address.ToString();
  const std::string host = text.substr(0, text.rfind(':'));
  return host.front() == '[' ? host.substr(1, host.size() - 2) : host;
}

std::string TakeBody(evhttp_request* request) {
  evbuffer* buffer = evhttp_request_get_input_buffer(request);
  std::string body(evbuffer_get_length(buffer), '\0');
  evbuffer_remove(buffer, body.data(), body.size());
  return body;
}

const char* ReasonPhrase(int status) { return status == kHttpOk ? "OK" : "Error"; }

}  // namespace

// An answer that waits for its time; with `close` set, the connection is closed instead.
struct StoreServer::DelayedAnswer {
  StoreServer* server = nullptr;
  evhttp_request* request = nullptr;
  int status = 0;
  std::string body;
  bool close = false;
  std::unique_ptr<tasks::Timer> timer;
};

void StoreServer::HttpDeleter::operator()(evhttp* http) const { evhttp_free(http); }

StoreServer::StoreServer(event_base* base, const base::SocketAddress& address,
                         const base::Clock& clock)
    : base_(base), clock_(clock), address_(address), http_(evhttp_new(base)), timer_(base, [this] {
        OnTimer();
      }) {
  evhttp_set_gencb(http_.get(), &StoreServer::OnRequest, this);
  evhttp_set_allowed_methods(http_.get(), EVHTTP_REQ_POST);
  evhttp_set_default_content_type(http_.get(), "application/json");
  Bind();
  timer_.StartPeriodic(kTimerInterval);
}

StoreServer::~StoreServer() {
  CloseConnections();  // so that no close callback reaches a half-destroyed server
}

void StoreServer::SetFaults(const FaultSettings& faults) {
  const Outage previous = std::exchange(faults_, faults).outage;
  rate_limit_.reset();
  if (faults_.requests_per_second > 0) {
    const double limit = faults_.requests_per_second;
    rate_limit_ = std::make_unique<store::TokenBucket>(limit, /*burst=*/limit);
  }
  if (faults_.outage == Outage::kRefuse) {
    Unbind();
    CloseConnections();
  } else if (bound_ == nullptr) {
    Bind();
  }
  if (previous == Outage::kHang && faults_.outage != Outage::kHang) {
    CloseConnections();  // requests that hung are never answered
  }
  NotifyWatches();
}

bool StoreServer::ExpireLease(store::LeaseId lease) {
  const bool found = store_.ExpireLease(lease);
  NotifyWatches();
  return found;
}

void StoreServer::Compact(base::Revision revision) { store_.Compact(revision); }

void StoreServer::OnRequest(evhttp_request* request, void* self) {
  static_cast<StoreServer*>(self)->Handle(request);
}

void StoreServer::OnConnectionClosed(evhttp_connection* connection, void* self) {
  static_cast<StoreServer*>(self)->Forget(connection);
}

void StoreServer::OnTimer() {
  const base::TimePoint now = clock_.Now();
  finished_.clear();
  store_.ExpireLeases(now);
  NotifyWatches();
  for (WatchStream& watch : watches_) {
    watch.SendProgressIfDue(store_, now);
  }
}

void StoreServer::Bind() {
  bound_ = evhttp_bind_socket_with_handle(http_.get(), HostText(address_).c_str(), address_.port);
  if (bound_ == nullptr) {
    throw std::runtime_error("can't listen on " + address_.ToString());
  }
  sockaddr_storage storage{};
  socklen_t length = sizeof storage;
  getsockname(evhttp_bound_socket_get_fd(bound_), reinterpret_cast<sockaddr*>(&storage), &length);
  address_ = base::SocketAddress::FromNative(storage).value_or(address_);
}

void StoreServer::Unbind() {
  if (bound_ != nullptr) {
    evhttp_del_accept_socket(http_.get(), std::exchange(bound_, nullptr));
  }
}

void StoreServer::Handle(evhttp_request* request) {
  evhttp_connection* connection = evhttp_request_get_connection(request);
  connections_.insert(connection);
  evhttp_connection_set_closecb(connection, &StoreServer::OnConnectionClosed, this);
  const std::string path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
  const std::string body = TakeBody(request);
  const bool is_watch = path == "/v3/watch";
  try {
    const auto decoded = is_watch ? std::nullopt : DecodeRequest(path, body);
    counters_.Count(is_watch ? "watch" : (decoded ? store::NameOf(*decoded) : "unknown_path"),
                    clock_.Now());
    if (RefuseByFault(request)) {
      return;
    }
    if (is_watch) {
      HandleWatch(request, body);
    } else if (decoded) {
      HandleUnary(request, *decoded);
    } else {
      Answer(request, kHttpNotFound, EncodeError(store::StatusCode::kNotFound, "Not Found"));
    }
  } catch (const StoreError& error) {
    Answer(request, HttpStatus(error.code()), EncodeError(error.code(), error.what()));
  }
}

bool StoreServer::RefuseByFault(evhttp_request* request) {
  if (faults_.outage == Outage::kHang) {
    hung_.push_back(request);
    return true;  // no answer, ever
  }
  if (faults_.outage == Outage::kUnavailable) {
    throw StoreError(store::StatusCode::kUnavailable, "etcdserver: no leader");
  }
  if (rate_limit_ && !rate_limit_->TryTake(clock_.Now())) {
    counters_.CountRateLimited();
    evhttp_add_header(evhttp_request_get_output_headers(request), "Retry-After", "1");
    throw StoreError(store::StatusCode::kResourceExhausted, "etcdserver: too many requests");
  }
  return false;
}

void StoreServer::HandleUnary(evhttp_request* request, const store::Request& decoded) {
  const store::Response response = store_.Apply(decoded, clock_.Now());
  NotifyWatches();
  if (TakesLostAnswer(decoded)) {
    counters_.CountLostAnswer();
    Delay(request, 0, "", /*close=*/true, faults_.delay);
    return;
  }
  Answer(request, kHttpOk, EncodeResponse(response));
}

void StoreServer::HandleWatch(evhttp_request* request, const std::string& body) {
  const store::WatchRequest watch = DecodeWatchRequest(body);
  if (watches_.size() >= kWatchLimit) {
    throw StoreError(store::StatusCode::kUnavailable, "too many watches");
  }
  watches_.emplace_back(request, watch, store_, clock_.Now());
  NotifyWatches();
}

bool StoreServer::TakesLostAnswer(const store::Request& request) {
  if (faults_.lost_answers == 0 || !store::ChangesStore(request)) {
    return false;
  }
  --faults_.lost_answers;
  return true;
}

void StoreServer::Answer(evhttp_request* request, int status, const std::string& body) {
  if (faults_.delay > base::Duration::zero()) {
    Delay(request, status, body, /*close=*/false, faults_.delay);
  } else {
    SendNow(request, status, body);
  }
}

void StoreServer::SendNow(evhttp_request* request, int status, const std::string& body) {
  evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
  evhttp_send_reply(request, status, ReasonPhrase(status), nullptr);
}

void StoreServer::Delay(evhttp_request* request, int status, std::string body, bool close,
                        base::Duration delay) {
  if (delayed_.size() >= kDelayedLimit) {
    SendNow(request, HttpStatus(store::StatusCode::kUnavailable),
            EncodeError(store::StatusCode::kUnavailable, "too many delayed answers"));
    return;
  }
  auto answer = std::make_unique<DelayedAnswer>();
  answer->server = this;
  answer->request = request;
  answer->status = status;
  answer->body = std::move(body);
  answer->close = close;
  answer->timer =
      std::make_unique<tasks::Timer>(base_, [this, raw = answer.get()] { FinishDelayed(*raw); });
  answer->timer->StartOnce(delay);
  delayed_.push_back(std::move(answer));
}

void StoreServer::FinishDelayed(DelayedAnswer& delayed) {
  const auto position =
      std::ranges::find_if(delayed_, [&](const auto& entry) { return entry.get() == &delayed; });
  // Destroyed later: this runs in the answer's own timer.
  finished_.splice(finished_.end(), delayed_, position);
  evhttp_connection* connection = evhttp_request_get_connection(delayed.request);
  if (delayed.close && connection != nullptr) {
    evhttp_connection_free(connection);
  } else {
    SendNow(delayed.request, delayed.status, delayed.body);
  }
}

void StoreServer::Forget(evhttp_connection* connection) {
  connections_.erase(connection);
  const auto is_gone = [connection](evhttp_request* request) {
    return evhttp_request_get_connection(request) == connection;
  };
  watches_.remove_if([&](const WatchStream& watch) { return is_gone(watch.request()); });
  hung_.remove_if(is_gone);
  delayed_.remove_if([&](const auto& answer) { return is_gone(answer->request); });
  DropOrphans();
}

// A request whose caller hung up has no connection any more, and libevent leaves it to us.
void StoreServer::DropOrphans() {
  const auto free_if_orphan = [](evhttp_request* request) {
    if (evhttp_request_get_connection(request) != nullptr) {
      return false;
    }
    evhttp_request_free(request);
    return true;
  };
  watches_.remove_if([&](const WatchStream& watch) { return free_if_orphan(watch.request()); });
  hung_.remove_if(free_if_orphan);
  delayed_.remove_if([&](const auto& answer) { return free_if_orphan(answer->request); });
}

void StoreServer::CloseConnections() {
  while (!connections_.empty()) {
    evhttp_connection_free(*connections_.begin());  // calls Forget()
  }
}

void StoreServer::NotifyWatches() {
  if (faults_.stale_watches) {
    return;
  }
  watches_.remove_if(
      [this](WatchStream& watch) { return !watch.SendChanges(store_, clock_.Now()); });
}

}  // namespace gaugevalve::standins
