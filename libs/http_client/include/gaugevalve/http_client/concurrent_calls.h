/// @file
/// HTTP calls to one address that don't wait for each other.
#pragma once

#include <event2/event.h>

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/base/strong_id.h"
#include "gaugevalve/base/time.h"
#include "gaugevalve/http_client/http_exchange.h"
#include "gaugevalve/http_client/timed_call.h"

namespace gaugevalve::http_client {

/// A call of one ConcurrentCalls.
using CallId = base::StrongId<struct CallIdTag, std::uint64_t>;

/// Any number of calls at a time, each on a connection of its own while it is in progress. A call
/// can so be repeated while an earlier one, whose connection may be dead or whose answer may be
/// late, still waits. Not thread-safe.
class ConcurrentCalls {
 public:
  ConcurrentCalls(event_base* loop, const base::SocketAddress& address);

  /// Starts a call; `handler` gets the answer, or nothing when there is none in time. The call is
  /// no longer in progress then.
  CallId Start(const HttpRequest& request, base::Duration timeout, TimedCall::Handler handler);

  /// Gives a call up: its handler isn't called. Does nothing when it is not in progress.
  void Cancel(CallId call);
  void CancelAll();

  std::size_t InProgress() const { return m_in_progress.size(); }

  /// Returns the number of calls that were started.
  std::uint64_t Count() const { return m_last_id; }

 private:
  std::unique_ptr<TimedCall> TakeIdle();

  event_base* m_loop;
  base::SocketAddress m_address;
  std::map<CallId, std::unique_ptr<TimedCall>> m_in_progress;
  // Kept for further calls, as one may have a connection, and since a call ends in its own handler.
  std::vector<std::unique_ptr<TimedCall>> m_idle;
  std::uint64_t m_last_id = 0;
};

}  // namespace gaugevalve::http_client
