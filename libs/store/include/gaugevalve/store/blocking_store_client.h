// The store client for command line tools: one request at a time, the caller waits.
#pragma once

#include <memory>

#include "gaugevalve/store/store_client.h"

namespace gaugevalve::store {

// Owns its event loop. Not thread-safe; not for use inside an event loop.
class BlockingStoreClient {
 public:
  BlockingStoreClient(const StoreClientSettings& settings, std::uint64_t seed);
  ~BlockingStoreClient();
  BlockingStoreClient(const BlockingStoreClient&) = delete;
  BlockingStoreClient& operator=(const BlockingStoreClient&) = delete;

  // Returns the request's end, within `timeout` and a little.
  Result Call(Request request, base::Duration timeout);

 private:
  struct EventBaseDeleter {
    void operator()(event_base* base) const;
  };

  base::SystemClock clock_;
  std::unique_ptr<event_base, EventBaseDeleter> base_;
  StoreClient client_;
};

}  // namespace gaugevalve::store
