// The HTTP port of a process for operators: metrics, health and what the process adds.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gaugevalve/base/socket_address.h"

struct event_base;

namespace prometheus {
class Registry;
}

namespace gaugevalve::telemetry {

// A request to the admin port, whole.
struct AdminRequest {
  std::string method;  // "GET", "POST", "PUT"; others are answered 405
  std::string path;    // without the query
  std::string query;   // what follows '?', not decoded
  std::string body;    // at most AdminServer::kMaxBodyBytes; larger ones are answered 413

  // Returns the decoded value of a query parameter, or "" when it isn't there.
  std::string Parameter(const std::string& name) const;
};

// The answer to an AdminRequest.
struct AdminResponse {
  int status = 200;
  std::string content_type = "text/plain; charset=utf-8";
  std::string body;
};

// Serves GET /metrics (Prometheus text format), GET /healthz (liveness: 200 while the loop turns),
// GET /readyz (readiness: 200, or 503 with the reasons, one a line) and added handlers over
// HTTP/1.1 (libevhtp) on an event loop of the caller's. All calls and handlers run on that loop's
// thread.
class AdminServer {
 public:
  static constexpr std::size_t kMaxBodyBytes = 1U << 20U;

  using Handler = std::function<AdminResponse(const AdminRequest&)>;
  // Returns why the process can't take traffic now, in words for operators; nothing when it can.
  using ReadinessCheck = std::function<std::vector<std::string>()>;

  // Binds `address`; port 0 lets the system choose. `base` must outlive the server. Throws
  // std::runtime_error, naming the address, when it can't be bound.
  AdminServer(event_base* base, const base::SocketAddress& address,
              std::shared_ptr<prometheus::Registry> registry);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  // Returns the address bound, with the real port.
  base::SocketAddress BoundAddress() const;

  // Answers requests to exactly this path with `handler`, which replaces an earlier one. An
  // exception from the handler is answered 500 with its text.
  void Handle(const std::string& path, Handler handler);

  // Adds a check to those that GET /readyz asks. A process without any is ready.
  void AddReadinessCheck(ReadinessCheck check);

 private:
  struct Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace gaugevalve::telemetry
