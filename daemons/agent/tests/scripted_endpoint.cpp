#include "scripted_endpoint.h"

#include <array>
#include <stdexcept>
#include <utility>

namespace gaugevalve::agent::testing {

ScriptedEndpoint::ScriptedEndpoint(event_base* loop) {
  sockaddr_storage native{};
  const socklen_t length = base::SocketAddress::Ipv4(INADDR_LOOPBACK, 0).ToNative(native);
  listener_.reset(evconnlistener_new_bind(
      loop,
      [](evconnlistener* listener, evutil_socket_t descriptor, sockaddr*, int, void* self) {
        auto& endpoint = *static_cast<ScriptedEndpoint*>(self);
        auto& connection = *endpoint.connections_.emplace_back(std::make_unique<Connection>());
        connection.buffered = bufferevent_socket_new(evconnlistener_get_base(listener), descriptor,
                                                     BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(
            connection.buffered,
            [](bufferevent* buffered, void* context) {
              std::array<char, 4096> bytes{};
              std::size_t count = 0;
              while ((count = bufferevent_read(buffered, bytes.data(), bytes.size())) > 0) {
                static_cast<Connection*>(context)->received.append(bytes.data(), count);
              }
            },
            nullptr,
            [](bufferevent*, short, void* context) {  // NOLINT(google-runtime-int)
              static_cast<Connection*>(context)->is_closed = true;
            },
            &connection);
        bufferevent_enable(connection.buffered, EV_READ | EV_WRITE);
      },
      this, LEV_OPT_CLOSE_ON_FREE, -1, reinterpret_cast<sockaddr*>(&native),
      static_cast<int>(length)));
  if (listener_ == nullptr) {
    throw std::runtime_error("cannot create a listener");
  }
  socklen_t size = sizeof native;
  getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&native), &size);
  address_ = *base::SocketAddress::FromNative(native);
}

ScriptedEndpoint::~ScriptedEndpoint() {
  for (std::size_t index = 0; index < connections_.size(); ++index) {
    Close(index);
  }
}

void ScriptedEndpoint::Send(std::size_t index, std::string_view text) {
  bufferevent_write(connections_.at(index)->buffered, text.data(), text.size());
}

std::size_t ScriptedEndpoint::Unsent(std::size_t index) const {
  return evbuffer_get_length(bufferevent_get_output(connections_.at(index)->buffered));
}

void ScriptedEndpoint::Close(std::size_t index) {
  Connection& connection = *connections_.at(index);
  if (connection.buffered != nullptr) {
    bufferevent_free(std::exchange(connection.buffered, nullptr));
  }
}

void ScriptedEndpoint::StopReading(std::size_t index) {
  bufferevent_disable(connections_.at(index)->buffered, EV_READ);
}

void RunUntil(event_base* loop, const std::function<bool()>& is_done) {
  while (!is_done()) {
    event_base_loop(loop, EVLOOP_ONCE);
  }
}

}  // namespace gaugevalve::agent::testing
