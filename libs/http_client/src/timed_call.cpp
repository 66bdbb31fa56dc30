#include "gaugevalve/http_client/timed_call.h"

#include <utility>

namespace gaugevalve::http_client {

TimedCall::TimedCall(event_base* loop, const base::SocketAddress& address)
    : m_loop(loop),
      m_address(address),
      m_timeout(loop, [this] { Finish(); }),
      m_finish(loop, [this] { Finish(); }) {}

void TimedCall::Start(const HttpRequest& request, base::Duration timeout, Handler handler) {
  ++m_count;
  m_answer.reset();
  m_was_refused = false;
  m_handler = std::move(handler);
  if (m_exchange == nullptr) {
    m_exchange =
        std::make_unique<HttpExchange>(m_loop, m_address, HttpExchange::Kind::kAnswer, *this);
  }
  m_timeout.StartOnce(timeout);
  if (!m_exchange->Start(request)) {
    m_finish.StartOnce(base::Duration(0));
  }
}

void TimedCall::Cancel() {
  if (!IsBusy()) {
    return;
  }
  m_timeout.Cancel();
  m_finish.Cancel();
  m_exchange.reset();
  m_answer.reset();
  m_handler = nullptr;
}

void TimedCall::OnHttpAnswer(const HttpAnswer& answer) {
  m_answer = answer;
  m_finish.StartOnce(base::Duration(0));
}

void TimedCall::OnHttpFailure(TransportFailure failure, const std::string& /*words*/) {
  m_was_refused = failure == TransportFailure::kNotSent;
  m_finish.StartOnce(base::Duration(0));
}

void TimedCall::Finish() {
  m_timeout.Cancel();
  m_finish.Cancel();
  if (!m_answer) {
    m_exchange.reset();  // a connection that has lost an answer says nothing more
  }
  const Handler handler = std::exchange(m_handler, nullptr);
  if (handler) {
    handler(std::exchange(m_answer, std::nullopt));
  }
}

}  // namespace gaugevalve::http_client
