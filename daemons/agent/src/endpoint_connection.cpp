#include "endpoint_connection.h"

#include <event2/buffer.h>

#include <cstring>
#include <stdexcept>
#include <utility>

namespace gaugevalve::agent {
namespace {

constexpr std::size_t kReadHighWater = 64 * 1024;

timeval ToTimeval(base::Duration duration) {
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(duration);
  return {static_cast<time_t>(seconds.count()),
          static_cast<suseconds_t>((duration - seconds).count())};
}

}  // namespace

EndpointConnection::EndpointConnection(EndpointClient& client, event_base* loop,
                                       const base::SocketAddress& endpoint,
                                       const EndpointClientOptions& options)
    : client_(client), options_(options) {
  // Deferred callbacks: libevent calls none of them from within a call that this class makes.
  buffered_.reset(
      bufferevent_socket_new(loop, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
  if (buffered_ == nullptr) {
    throw std::runtime_error("libevent: cannot create a bufferevent");
  }
  bufferevent_setcb(buffered_.get(), OnReadable, OnWritable, OnEvent, this);
  bufferevent_setwatermark(buffered_.get(), EV_READ, 0, kReadHighWater);
  bufferevent_setwatermark(buffered_.get(), EV_WRITE, options_.write_high_water / 2, 0);
  const timeval connect_timeout = ToTimeval(options_.connect_timeout);
  bufferevent_set_timeouts(buffered_.get(), nullptr, &connect_timeout);
  sockaddr_storage native{};
  const socklen_t length = endpoint.ToNative(native);
  if (bufferevent_socket_connect(buffered_.get(), reinterpret_cast<sockaddr*>(&native),
                                 static_cast<int>(length)) != 0) {
    throw std::runtime_error("cannot connect to the endpoint " + endpoint.ToString());
  }
  bufferevent_enable(buffered_.get(), EV_READ | EV_WRITE);
}

EndpointConnection::~EndpointConnection() {
  if (exchange_ != nullptr) {
    exchange_->Detach();
  }
}

std::unique_ptr<EndpointExchange> EndpointConnection::Begin(const quic::RequestHead& head,
                                                            EndpointEvents& events) {
  state_ = State::kBusy;
  head_ = head;
  events_ = &events;
  parser_.emplace(*this, head.method == "HEAD");
  framing_.reset();
  is_request_complete_ = false;
  is_write_blocked_ = false;
  has_head_ = false;
  if (is_connected_) {
    bufferevent_set_timeouts(buffered_.get(), nullptr, nullptr);
  }
  auto exchange = std::make_unique<EndpointExchange>(*this);
  exchange_ = exchange.get();
  return exchange;
}

void EndpointConnection::Write(std::string_view text) {
  bufferevent_write(buffered_.get(), text.data(), text.size());
}

void EndpointConnection::SendHead(bool is_empty) {
  framing_ = FramingOf(head_, is_empty);
  Write(WriteRequestHead(head_, *framing_));
}

bool EndpointConnection::WriteBody(std::span<const std::uint8_t> bytes) {
  if (state_ != State::kBusy || is_request_complete_ || bytes.empty()) {
    return true;
  }
  if (!framing_) {
    SendHead(false);
  }
  const bool is_chunked = *framing_ == BodyFraming::kChunked;
  if (is_chunked) {
    Write(WriteChunkStart(bytes.size()));
  }
  bufferevent_write(buffered_.get(), bytes.data(), bytes.size());
  if (is_chunked) {
    Write(kChunkEnd);
  }
  const std::size_t waiting = evbuffer_get_length(bufferevent_get_output(buffered_.get()));
  is_write_blocked_ = waiting >= options_.write_high_water;
  return !is_write_blocked_;
}

void EndpointConnection::FinishBody() {
  if (state_ != State::kBusy || is_request_complete_) {
    return;
  }
  is_request_complete_ = true;
  if (!framing_) {
    SendHead(true);
  } else if (*framing_ == BodyFraming::kChunked) {
    Write(kLastChunk);
  }
}

void EndpointConnection::PauseReading() {
  if (state_ == State::kBusy) {
    parser_->Pause();
    bufferevent_disable(buffered_.get(), EV_READ);
  }
}

void EndpointConnection::ResumeReading() {
  if (state_ == State::kBusy) {
    parser_->Resume();
    bufferevent_enable(buffered_.get(), EV_READ);
    bufferevent_trigger(buffered_.get(), EV_READ, BEV_TRIG_IGNORE_WATERMARKS);
  }
}

void EndpointConnection::Abandon() {
  exchange_ = nullptr;
  events_ = nullptr;
  Close();
}

void EndpointConnection::OnReadable(bufferevent*, void* self) {
  static_cast<EndpointConnection*>(self)->ReadInput();
}

void EndpointConnection::OnWritable(bufferevent*, void* self) {
  auto& connection = *static_cast<EndpointConnection*>(self);
  if (connection.state_ == State::kBusy && std::exchange(connection.is_write_blocked_, false)) {
    connection.events_->OnRequestWritable();
  }
}

void EndpointConnection::OnEvent(bufferevent*, short what,
                                 void* self) {  // NOLINT(google-runtime-int)
  auto& connection = *static_cast<EndpointConnection*>(self);
  if ((what & BEV_EVENT_CONNECTED) != 0) {
    connection.is_connected_ = true;
    bufferevent_set_timeouts(connection.buffered_.get(), nullptr, nullptr);
    return;
  }
  if ((what & BEV_EVENT_TIMEOUT) != 0) {
    connection.OnTimeout();
    return;
  }
  const bool is_error = (what & BEV_EVENT_ERROR) != 0;
  connection.OnPeerClosed(is_error ? evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR())
                                   : "the endpoint closed the connection");
}

std::size_t EndpointConnection::InputLength() const {
  return evbuffer_get_length(bufferevent_get_input(buffered_.get()));
}

void EndpointConnection::ReadInput() {
  if (state_ == State::kIdle && InputLength() > 0) {
    Close();  // an answer without a request
    return;
  }
  evbuffer* input = bufferevent_get_input(buffered_.get());
  while (state_ == State::kBusy && parser_->GetState() == Http1ResponseParser::State::kReading &&
         InputLength() > 0) {
    evbuffer_iovec piece{};
    evbuffer_peek(input, -1, nullptr, &piece, 1);
    const std::span bytes(static_cast<const std::uint8_t*>(piece.iov_base), piece.iov_len);
    const std::size_t consumed = parser_->Parse(bytes);
    evbuffer_drain(input, consumed);
  }
  if (state_ != State::kBusy) {
    return;  // the exchange was destroyed by its events
  }
  if (parser_->GetState() == Http1ResponseParser::State::kComplete) {
    FinishAnswer();
  } else if (parser_->GetState() == Http1ResponseParser::State::kMalformed) {
    Fail(ExchangeFailure::Kind::kMalformedAnswer, parser_->ErrorDetail());
  } else if (is_peer_closed_ && InputLength() == 0) {
    OnPeerClosed("the endpoint closed the connection");
  }
}

void EndpointConnection::OnResponseHead(const quic::ResponseHead& head) {
  has_head_ = true;
  if (events_ != nullptr) {
    events_->OnAnswerHead(head);
  }
}

void EndpointConnection::OnResponseBody(std::span<const std::uint8_t> bytes) {
  if (events_ != nullptr) {
    events_->OnAnswerBody(bytes);
  }
}

// Keeps the connection only if no more data of this exchange can be sent or received on it.
void EndpointConnection::FinishAnswer() {
  const bool is_sent =
      is_request_complete_ && evbuffer_get_length(bufferevent_get_output(buffered_.get())) == 0;
  const bool is_clean = InputLength() == 0 && !is_peer_closed_;
  EndpointEvents* events = std::exchange(events_, nullptr);
  std::exchange(exchange_, nullptr)->Detach();
  if (is_sent && is_clean && parser_->KeepsConnection()) {
    state_ = State::kIdle;
    const timeval idle_timeout = ToTimeval(options_.idle_timeout);
    bufferevent_set_timeouts(buffered_.get(), &idle_timeout, nullptr);
    bufferevent_enable(buffered_.get(), EV_READ);
    if (!client_.MayKeepIdle()) {
      Close();
    }
  } else {
    Close();
  }
  events->OnAnswerEnd();
}

void EndpointConnection::OnTimeout() {
  if (!is_connected_) {
    OnPeerClosed("the connection timed out");
  } else if (state_ == State::kBusy) {
    // The idle time-out expired just before an exchange took the connection. libevent has disabled
    // reading, so it is enabled again.
    if (parser_->GetState() != Http1ResponseParser::State::kPaused) {
      bufferevent_enable(buffered_.get(), EV_READ);
    }
  } else {
    OnPeerClosed("idle");
  }
}

void EndpointConnection::OnPeerClosed(const std::string& reason) {
  if (state_ != State::kBusy) {
    Close();
    return;
  }
  is_peer_closed_ = true;
  if (parser_->GetState() == Http1ResponseParser::State::kPaused && InputLength() > 0) {
    return;  // the rest is parsed when reading resumes
  }
  if (!is_connected_) {
    Fail(ExchangeFailure::Kind::kNotSent, reason);
  } else {
    const bool is_cut = has_head_ || parser_->HasBegun();
    Fail(is_cut ? ExchangeFailure::Kind::kCutAnswer : ExchangeFailure::Kind::kBroken, reason);
  }
}

void EndpointConnection::Fail(ExchangeFailure::Kind kind, const std::string& reason) {
  EndpointEvents* events = std::exchange(events_, nullptr);
  if (exchange_ != nullptr) {
    std::exchange(exchange_, nullptr)->Detach();
  }
  Close();
  if (events != nullptr) {
    events->OnExchangeFailed({kind, reason});
  }
}

void EndpointConnection::Close() {
  if (std::exchange(state_, State::kOver) == State::kOver) {
    return;
  }
  bufferevent_setcb(buffered_.get(), nullptr, nullptr, nullptr, nullptr);
  bufferevent_disable(buffered_.get(), EV_READ | EV_WRITE);
  client_.OnConnectionOver();
}

}  // namespace gaugevalve::agent
