#include "http_endpoint.h"

#include <event2/listener.h>

#include <charconv>
#include <chrono>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string_view>

namespace gaugevalve::standins {
namespace {

constexpr int kListenBacklog = 1024;
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kUnavailable = 503;
constexpr std::uint64_t kMaxBodyBytes = 1U << 20U;
constexpr base::Duration kReportInterval = std::chrono::milliseconds(50);
constexpr std::string_view kDrawingsPrefix = "/drawings/";

// Returns N of "/drawings/N"; nothing for other paths.
std::optional<std::uint64_t> DrawingOf(std::string_view path) {
  if (path.substr(0, kDrawingsPrefix.size()) != kDrawingsPrefix) {
    return std::nullopt;
  }
  path.remove_prefix(kDrawingsPrefix.size());
  std::uint64_t drawing = 0;
  const auto [rest, error] = std::from_chars(path.data(), path.data() + path.size(), drawing);
  if (error != std::errc() || rest != path.data() + path.size()) {
    return std::nullopt;
  }
  return drawing;
}

std::string PathOf(const evhtp_request_t* request) {
  const bool has_path = request->uri != nullptr && request->uri->path != nullptr &&
                        request->uri->path->full != nullptr;
  return has_path ? request->uri->path->full : "";
}

}  // namespace

void HttpEndpoint::ServerDeleter::operator()(evhtp_t* server) const {
  evhtp_unbind_socket(server);
  evhtp_free(server);
}

HttpEndpoint::HttpEndpoint(event_base* loop, const HttpEndpointSettings& settings,
                           const EndpointIdentity& identity, const EndpointFaults& faults,
                           RequestLedger& ledger)
    : settings_(settings),
      faults_(faults),
      ledger_(ledger),
      board_(loop, settings.board_interval, identity.name),
      work_(loop, settings.work, identity, faults, ledger),
      report_timer_(loop, [this] { RecordState(); }),
      server_(evhtp_new(loop, nullptr)) {
  evhtp_set_max_body_size(server_.get(), kMaxBodyBytes);
  evhtp_set_gencb(server_.get(), &HttpEndpoint::OnRequest, this);
  evhtp_set_post_accept_cb(server_.get(), &HttpEndpoint::OnConnection, this);
  sockaddr_storage native{};
  const socklen_t length = settings.address.ToNative(native);
  if (evhtp_bind_sockaddr(server_.get(), reinterpret_cast<sockaddr*>(&native), length,
                          kListenBacklog) != 0) {
    throw std::runtime_error("can't listen for HTTP on " + settings.address.ToString());
  }
  RecordState();
  report_timer_.StartPeriodic(kReportInterval);
}

HttpEndpoint::~HttpEndpoint() {
  while (!connections_.empty()) {
    evhtp_connection_free(*connections_.begin());  // OnConnectionEnd() takes it out
  }
}

base::SocketAddress HttpEndpoint::BoundAddress() const {
  sockaddr_storage native{};
  socklen_t length = sizeof(native);
  getsockname(evconnlistener_get_fd(server_->server), reinterpret_cast<sockaddr*>(&native),
              &length);
  return base::SocketAddress::FromNative(native).value_or(base::SocketAddress{});
}

evhtp_res HttpEndpoint::OnConnection(evhtp_connection_t* connection, void* self) {
  auto* const endpoint = static_cast<HttpEndpoint*>(self);
  if (endpoint->faults_.refuse_connections ||
      endpoint->connections_.size() >= endpoint->settings_.max_connections) {
    return EVHTP_RES_ERROR;
  }
  endpoint->connections_.insert(connection);
  evhtp_connection_set_hook(connection, evhtp_hook_on_connection_fini,
                            AsHook(&HttpEndpoint::OnConnectionEnd), self);
  return EVHTP_RES_OK;
}

evhtp_res HttpEndpoint::OnConnectionEnd(evhtp_connection_t* connection, void* self) {
  static_cast<HttpEndpoint*>(self)->connections_.erase(connection);
  return EVHTP_RES_OK;
}

void HttpEndpoint::OnRequest(evhtp_request_t* request, void* self) {
  static_cast<HttpEndpoint*>(self)->Dispatch(request);
}

void HttpEndpoint::Dispatch(evhtp_request_t* request) {
  const std::string path = PathOf(request);
  const htp_method method = evhtp_request_get_method(request);
  if (method == htp_method_GET) {
    DispatchGet(request, path);
  } else if (method == htp_method_POST && path == "/reservations") {
    work_.AdmitReservation(request);
  } else {
    SendWhole(request, kMethodNotAllowed, "text/plain", "GET, or POST /reservations\n");
  }
}

void HttpEndpoint::DispatchGet(evhtp_request_t* request, const std::string& path) {
  if (path == "/board") {
    ledger_.RecordBoard();
    board_.Open(request);
  } else if (path == "/load") {
    AnswerLoad(request);
  } else if (path == "/health") {
    AnswerHealth(request);
  } else if (const std::optional<std::uint64_t> drawing = DrawingOf(path)) {
    work_.AdmitDrawing(request, *drawing);
  } else {
    SendWhole(request, kNotFound, "text/plain", "no such resource\n");
  }
}

void HttpEndpoint::AnswerLoad(evhtp_request_t* request) {
  const EndpointState state =
      load_report_.Show(faults_.load_report, faults_.report_lag, clock_.Now());
  const nlohmann::json document = {{"slots", state.slots},
                                   {"busy", state.busy},
                                   {"waiting", state.waiting},
                                   {"connections", state.connections}};
  SendWhole(request, kOk, "application/json", document.dump() + "\n");
}

void HttpEndpoint::AnswerHealth(evhtp_request_t* request) {
  const EndpointState state =
      health_report_.Show(faults_.health_report, faults_.report_lag, clock_.Now());
  SendWhole(request, state.is_healthy ? kOk : kUnavailable, "text/plain",
            state.is_healthy ? "ok\n" : "not serving\n");
}

void HttpEndpoint::RecordState() {
  const SlotQueue& slots = work_.Slots();
  EndpointState state;
  state.is_healthy = !faults_.hang && !faults_.refuse_connections;
  state.slots = slots.Slots();
  state.busy = slots.Busy();
  state.waiting = slots.Waiting();
  state.connections = connections_.size();
  const base::TimePoint now = clock_.Now();
  load_report_.Record(state, faults_.load_report, now);
  health_report_.Record(state, faults_.health_report, now);
}

}  // namespace gaugevalve::standins
