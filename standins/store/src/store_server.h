// The stand-in store's HTTP port: the etcd v3 JSON gateway with faults.
#pragma once

#include <list>
#include <memory>
#include <set>
#include <string>

#include "fault_settings.h"
#include "gaugevalve/base/clock.h"
#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/store/token_bucket.h"
#include "gaugevalve/tasks/timer.h"
#include "mvcc_store.h"
#include "request_counters.h"
#include "watch_stream.h"

struct event_base;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;

namespace gaugevalve::standins {

// Runs on the caller's event loop; not thread-safe. It uses libevent's own HTTP server rather than
// libevhtp, as an answer here may be held back, streamed or thrown away with its connection.
// At most kWatchLimit streams and kDelayedLimit delayed answers at a time; more are answered 503.
class StoreServer {
 public:
  static constexpr std::size_t kWatchLimit = 8192;
  static constexpr std::size_t kDelayedLimit = 8192;

  // Binds `address`; port 0 lets the system choose. Throws std::runtime_error when it can't.
  StoreServer(event_base* base, const base::SocketAddress& address, const base::Clock& clock);
  ~StoreServer();
  StoreServer(const StoreServer&) = delete;
  StoreServer& operator=(const StoreServer&) = delete;

  // Returns the address bound, with the real port.
  const base::SocketAddress& BoundAddress() const { return address_; }

  // Replaces the faults shown from now on.
  void SetFaults(const FaultSettings& faults);
  const FaultSettings& Faults() const { return faults_; }

  // Ends a lease now; returns false when there is none.
  bool ExpireLease(store::LeaseId lease);

  // Forgets the history before `revision`. Throws StoreError.
  void Compact(base::Revision revision);

  const MvccStore& Store() const { return store_; }
  const RequestCounters& Counters() const { return counters_; }

 private:
  struct DelayedAnswer;

  struct HttpDeleter {
    void operator()(evhttp* http) const;
  };

  static void OnRequest(evhttp_request* request, void* self);
  static void OnConnectionClosed(evhttp_connection* connection, void* self);

  void OnTimer();
  void Bind();
  void Unbind();
  void Handle(evhttp_request* request);
  bool RefuseByFault(evhttp_request* request);
  void HandleUnary(evhttp_request* request, const store::Request& decoded);
  void HandleWatch(evhttp_request* request, const std::string& body);
  bool TakesLostAnswer(const store::Request& request);
  void Answer(evhttp_request* request, int status, const std::string& body);
  void SendNow(evhttp_request* request, int status, const std::string& body);
  void Delay(evhttp_request* request, int status, std::string body, bool close,
             base::Duration delay);
  void FinishDelayed(DelayedAnswer& delayed);
  void Forget(evhttp_connection* connection);
  void DropOrphans();
  void CloseConnections();
  void NotifyWatches();

  event_base* base_;
  const base::Clock& clock_;
  base::SocketAddress address_;
  std::unique_ptr<evhttp, HttpDeleter> http_;
  evhttp_bound_socket* bound_ = nullptr;  // owned by http_; null during a refusing outage
  tasks::Timer timer_;
  MvccStore store_;
  RequestCounters counters_;
  FaultSettings faults_;
  std::unique_ptr<store::TokenBucket> rate_limit_;  // null: none
  std::set<evhttp_connection*> connections_;
  std::list<WatchStream> watches_;
  std::list<evhttp_request*> hung_;  // never answered
  std::list<std::unique_ptr<DelayedAnswer>> delayed_;
  std::list<std::unique_ptr<DelayedAnswer>> finished_;  // sent; freed at the next timer
};

}  // namespace gaugevalve::standins
