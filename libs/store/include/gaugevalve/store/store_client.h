// The store client: typed requests and watches over HTTP, on the caller's event loop.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gaugevalve/base/clock.h"
#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/store/request_scheduler.h"
#include "gaugevalve/store/watch_session.h"

struct event_base;

namespace gaugevalve::store {

class StoreClientShell;

// Where the store is and how much of it this process may use.
struct StoreClientSettings {
  // Addresses of the store's HTTP gateways; at least one. A failed connection moves to the next.
  std::vector<base::SocketAddress> endpoints;
  SchedulerSettings scheduler;
};

// Receives what a watch delivers, on the event loop's thread.
class WatchObserver {
 public:
  virtual ~WatchObserver() = default;

  // The range's whole content; replaces everything delivered before.
  virtual void OnSnapshot(const WatchSnapshot& snapshot) = 0;

  // Changes since the last delivery, possibly none but a newer revision.
  virtual void OnChanges(const WatchChanges& changes) = 0;

  // The stream was opened or lost. What was delivered stays valid, but may be old.
  virtual void OnStreaming(bool /*streaming*/) {}
};

// A running watch; destroying it ends the watch.
class Watch {
 public:
  virtual ~Watch() = default;

  // Returns true while changes are expected to arrive.
  virtual bool IsStreaming() const = 0;
};

// Not thread-safe: use and destroy it on the thread that runs the event loop. Callbacks run on the
// event loop, never inside Submit() or StartWatch(). Bounded: see SchedulerSettings; an answer or
// watch message over 8 MB ends its exchange.
class StoreClient {
 public:
  using Callback = std::function<void(const Result&)>;

  // `base` and `clock` must outlive the client. `seed` drives the jitter. Throws
  // std::invalid_argument when there is no endpoint.
  StoreClient(event_base* base, const StoreClientSettings& settings, const base::Clock& clock,
              std::uint64_t seed);
  ~StoreClient();
  StoreClient(const StoreClient&) = delete;
  StoreClient& operator=(const StoreClient&) = delete;

  // Sends the request when the budget allows it; `callback` runs once, within `timeout` and a
  // little. Destroying the client drops the callbacks still due.
  void Submit(Request request, base::Duration timeout, Callback callback);

  // Follows a key range until the watch is destroyed, which must be before the client is.
  // `observer` must outlive the watch. The watch must not be destroyed by its observer's methods.
  std::unique_ptr<Watch> StartWatch(WatchSessionSettings settings, WatchObserver& observer);

 private:
  std::unique_ptr<StoreClientShell> shell_;
};

}  // namespace gaugevalve::store
