#include "gaugevalve/http_client/concurrent_calls.h"

#include <utility>

namespace gaugevalve::http_client {

ConcurrentCalls::ConcurrentCalls(event_base* loop, const base::SocketAddress& address)
    : m_loop(loop), m_address(address) {}

CallId ConcurrentCalls::Start(const HttpRequest& request, base::Duration timeout,
                              TimedCall::Handler handler) {
  const CallId id(++m_last_id);
  TimedCall& call = *m_in_progress.emplace(id, TakeIdle()).first->second;
  call.Start(request, timeout,
             [this, id, handler = std::move(handler)](std::optional<HttpAnswer> answer) {
               m_idle.push_back(std::move(m_in_progress.extract(id).mapped()));
               handler(std::move(answer));
             });
  return id;
}

void ConcurrentCalls::Cancel(CallId call) {
  const auto cancelled = m_in_progress.extract(call);
  if (!cancelled.empty()) {
    cancelled.mapped()->Cancel();
    m_idle.insert(m_idle.begin(), std::move(cancelled.mapped()));
  }
}

void ConcurrentCalls::CancelAll() {
  while (!m_in_progress.empty()) {
    Cancel(m_in_progress.begin()->first);
  }
}

std::unique_ptr<TimedCall> ConcurrentCalls::TakeIdle() {
  if (m_idle.empty()) {
    return std::make_unique<TimedCall>(m_loop, m_address);
  }
  std::unique_ptr<TimedCall> call = std::move(m_idle.back());
  m_idle.pop_back();
  return call;
}

}  // namespace gaugevalve::http_client
