// The endpoint's HTTP/1.1 port (libevhtp).
#pragma once

#include <event2/event.h>

#include <memory>
#include <set>
#include <string>

#include "board.h"
#include "endpoint_faults.h"
#include "endpoint_identity.h"
#include "endpoint_report.h"
#include "gaugevalve/base/clock.h"
#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/tasks/timer.h"
#include "http_response.h"
#include "request_ledger.h"
#include "work_runner.h"

namespace gaugevalve::standins {

// The limits and speeds of the HTTP port.
struct HttpEndpointSettings {
  base::SocketAddress address;
  std::size_t max_connections = 0;
  base::Duration board_interval{};  // between two events of the board
  WorkSettings work;
};

// Serves
//   GET  /board         server-sent events, held open; takes no slot
//   POST /reservations  runs in a slot; each execution is put into the ledger as it begins
//   GET  /drawings/N    runs in a slot; see DrawingBytes()
//   GET  /load          {"slots", "busy", "waiting", "connections"}
//   GET  /health        200 or 503
// A request for which there is neither slot nor queue is shed: 503 with Retry-After and "not run"
// (see endpoint_headers.h). Connections above the limit are closed as they come. Runs on the loop's
// thread; `faults` and `ledger` must outlive it.
class HttpEndpoint {
 public:
  // Throws std::runtime_error when the address can't be bound.
  HttpEndpoint(event_base* loop, const HttpEndpointSettings& settings,
               const EndpointIdentity& identity, const EndpointFaults& faults,
               RequestLedger& ledger);

  // Ends all connections.
  ~HttpEndpoint();
  HttpEndpoint(const HttpEndpoint&) = delete;
  HttpEndpoint& operator=(const HttpEndpoint&) = delete;

  // Returns the address bound, with the real port.
  base::SocketAddress BoundAddress() const;

 private:
  struct ServerDeleter {
    void operator()(evhtp_t* server) const;
  };

  static void OnRequest(evhtp_request_t* request, void* self);
  static evhtp_res OnConnection(evhtp_connection_t* connection, void* self);
  static evhtp_res OnConnectionEnd(evhtp_connection_t* connection, void* self);

  void Dispatch(evhtp_request_t* request);
  void DispatchGet(evhtp_request_t* request, const std::string& path);
  void AnswerLoad(evhtp_request_t* request);
  void AnswerHealth(evhtp_request_t* request);
  void RecordState();

  HttpEndpointSettings settings_;
  const EndpointFaults& faults_;
  RequestLedger& ledger_;
  base::SystemClock clock_;
  std::set<evhtp_connection_t*> connections_;  // libevhtp leaves open ones to its user at the end
  EndpointReport load_report_;
  EndpointReport health_report_;
  Board board_;
  WorkRunner work_;
  tasks::Timer report_timer_;
  std::unique_ptr<evhtp_t, ServerDeleter> server_;
};

}  // namespace gaugevalve::standins
