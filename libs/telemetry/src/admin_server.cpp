#include "gaugevalve/telemetry/admin_server.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

extern "C" {
#include <evhtp.h>
}

#include <exception>
#include <map>
#include <set>
#include <stdexcept>
#include <utility>

namespace gaugevalve::telemetry {
namespace {

constexpr int kListenBacklog = 64;
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kInternalError = 500;
constexpr int kUnavailable = 503;

struct EvhtpDeleter {
  void operator()(evhtp_t* server) const {
    evhtp_unbind_socket(server);
    evhtp_free(server);
  }
};

std::string MethodName(htp_method method) {
  switch (method) {
    case htp_method_GET:
      return "GET";
    case htp_method_POST:
      return "POST";
    case htp_method_PUT:
      return "PUT";
    default:
      return "";
  }
}

AdminRequest ReadRequest(evhtp_request_t* native) {
  AdminRequest request;
  request.method = MethodName(evhtp_request_get_method(native));
  if (native->uri != nullptr && native->uri->path != nullptr &&
      native->uri->path->full != nullptr) {
    request.path = native->uri->path->full;
  }
  if (native->uri != nullptr && native->uri->query_raw != nullptr) {
    request.query = reinterpret_cast<const char*>(native->uri->query_raw);
  }
  request.body.resize(evbuffer_get_length(native->buffer_in));
  evbuffer_copyout(native->buffer_in, request.body.data(), request.body.size());
  return request;
}

void SendResponse(evhtp_request_t* native, const AdminResponse& response) {
  constexpr char kCopyKey = 0;
  constexpr char kCopyValue = 1;
  evhtp_headers_add_header(
      native->headers_out,
      evhtp_header_new("Content-Type", response.content_type.c_str(), kCopyKey, kCopyValue));
  evbuffer_add(native->buffer_out, response.body.data(), response.body.size());
  evhtp_send_reply(native, static_cast<evhtp_res>(response.status));
}

}  // namespace

std::string AdminRequest::Parameter(const std::string& name) const {
  evkeyvalq parameters{};
  if (evhttp_parse_query_str(query.c_str(), &parameters) != 0) {
    return "";
  }
  const char* const value = evhttp_find_header(&parameters, name.c_str());
  std::string result = value != nullptr ? value : "";
  evhttp_clear_headers(&parameters);
  return result;
}

struct AdminServer::Implementation {
  std::shared_ptr<prometheus::Registry> registry;
  std::map<std::string, Handler> handlers;
  std::vector<ReadinessCheck> readiness_checks;
  std::unique_ptr<evhtp_t, EvhtpDeleter> server;
  // evhtp leaves open connections to themselves when it is freed; these are closed before.
  std::set<evhtp_connection_t*> connections;

  ~Implementation() {
    const std::set<evhtp_connection_t*> open = connections;
    for (evhtp_connection_t* const connection : open) {
      evhtp_connection_free(connection);
    }
  }

  static evhtp_res OnAccept(evhtp_connection_t* connection, void* self) {
    static_cast<Implementation*>(self)->connections.insert(connection);
    evhtp_connection_set_hook(connection, evhtp_hook_on_connection_fini,
                              reinterpret_cast<evhtp_hook>(reinterpret_cast<void*>(&OnClosed)),
                              self);
    return EVHTP_RES_OK;
  }

  static evhtp_res OnClosed(evhtp_connection_t* connection, void* self) {
    static_cast<Implementation*>(self)->connections.erase(connection);
    return EVHTP_RES_OK;
  }

  static void OnRequest(evhtp_request_t* native, void* self) {
    static_cast<Implementation*>(self)->Answer(native);
  }

  void Answer(evhtp_request_t* native) const {
    const AdminRequest request = ReadRequest(native);
    if (request.method.empty()) {
      SendResponse(native, {kMethodNotAllowed, "text/plain", "GET, POST and PUT are served\n"});
      return;
    }
    const auto handler = handlers.find(request.path);
    if (handler == handlers.end()) {
      SendResponse(native, {kNotFound, "text/plain", "no such page\n"});
      return;
    }
    try {
      SendResponse(native, handler->second(request));
    } catch (const std::exception& error) {
      SendResponse(native, {kInternalError, "text/plain", std::string(error.what()) + "\n"});
    }
  }

  AdminResponse Metrics() const {
    const prometheus::TextSerializer serializer;
    return {kOk, "text/plain; version=0.0.4", serializer.Serialize(registry->Collect())};
  }

  AdminResponse Readiness() const {
    std::string reasons;
    for (const ReadinessCheck& check : readiness_checks) {
      for (const std::string& reason : check()) {
        reasons += reason + "\n";
      }
    }
    return reasons.empty() ? Alive() : AdminResponse{kUnavailable, "text/plain", reasons};
  }

  static AdminResponse Alive() { return {kOk, "text/plain", "ok\n"}; }
};

AdminServer::AdminServer(event_base* base, const base::SocketAddress& address,
                         std::shared_ptr<prometheus::Registry> registry)
    : implementation_(std::make_unique<Implementation>()) {
  implementation_->registry = std::move(registry);
  implementation_->server.reset(evhtp_new(base, nullptr));
  evhtp_t* const server = implementation_->server.get();
  evhtp_set_max_body_size(server, kMaxBodyBytes);
  evhtp_set_post_accept_cb(server, &Implementation::OnAccept, implementation_.get());
  evhtp_set_gencb(server, &Implementation::OnRequest, implementation_.get());

  sockaddr_storage native{};
  const socklen_t length = address.ToNative(native);
  if (evhtp_bind_sockaddr(server, reinterpret_cast<sockaddr*>(&native), length, kListenBacklog) !=
      0) {
    throw std::runtime_error("can't listen for admin requests on " + address.ToString());
  }
  Implementation* const self = implementation_.get();
  Handle("/metrics", [self](const AdminRequest&) { return self->Metrics(); });
  Handle("/healthz", [](const AdminRequest&) { return Implementation::Alive(); });
  Handle("/readyz", [self](const AdminRequest&) { return self->Readiness(); });
}

AdminServer::~AdminServer() = default;

base::SocketAddress AdminServer::BoundAddress() const {
  sockaddr_storage native{};
  socklen_t length = sizeof(native);
  const evutil_socket_t socket = evconnlistener_get_fd(implementation_->server->server);
  getsockname(socket, reinterpret_cast<sockaddr*>(&native), &length);
  return base::SocketAddress::FromNative(native).value_or(base::SocketAddress{});
}

void AdminServer::Handle(const std::string& path, Handler handler) {
  implementation_->handlers[path] = std::move(handler);
}

void AdminServer::AddReadinessCheck(ReadinessCheck check) {
  implementation_->readiness_checks.push_back(std::move(check));
}

}  // namespace gaugevalve::telemetry
