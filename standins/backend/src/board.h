// A live board: server-sent events to every caller that keeps it open.
#pragma once

#include <event2/event.h>

#include <cstdint>
#include <set>
#include <string>

#include "gaugevalve/base/time.h"
#include "gaugevalve/tasks/timer.h"
#include "http_response.h"

namespace gaugevalve::standins {

// Sends an event with a growing number to all open boards at a regular interval. A caller that
// doesn't read is cut off once kMaxBacklogBytes wait for it. Runs on the loop's thread.
class Board {
 public:
  static constexpr std::size_t kMaxBacklogBytes = 1U << 20U;

  Board(event_base* loop, base::Duration interval, std::string endpoint);

  // Answers the request with events until its caller goes away.
  void Open(evhtp_request_t* request);

 private:
  static evhtp_res OnRequestEnd(evhtp_request_t* request, void* self);

  void SendEvents();

  std::string endpoint_;  // its name, put into every answer
  std::set<evhtp_request_t*> open_;
  std::uint64_t event_number_ = 0;
  tasks::Timer timer_;
};

}  // namespace gaugevalve::standins
