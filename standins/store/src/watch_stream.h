// The server's end of one watch stream.
#pragma once

#include "gaugevalve/base/identifiers.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/store/request.h"
#include "mvcc_store.h"

struct evhttp_request;

namespace gaugevalve::standins {

// Sends what a watch asked for as chunks of one HTTP answer. The request belongs to its
// connection; the owner drops the stream when that closes.
class WatchStream {
 public:
  // Begins the answer and sends the "created" frame.
  WatchStream(evhttp_request* request, store::WatchRequest watch, const MvccStore& store,
              base::TimePoint now);

  // Sends the changes since the last call. Returns false when the stream has ended, because the
  // revisions it needs are compacted.
  bool SendChanges(const MvccStore& store, base::TimePoint now);

  // Sends a sign of life when the client asked for it and nothing was sent for a while.
  void SendProgressIfDue(const MvccStore& store, base::TimePoint now);

  evhttp_request* request() const { return request_; }  // NOLINT(readability-identifier-naming)

 private:
  void Send(const store::WatchFrame& frame, base::TimePoint now);

  evhttp_request* request_;
  store::WatchRequest watch_;
  base::Revision next_;
  base::TimePoint sent_at_{};
};

}  // namespace gaugevalve::standins
