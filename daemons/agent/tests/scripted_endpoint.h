// An endpoint that sends what the test specifies.
#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "gaugevalve/base/socket_address.h"

namespace gaugevalve::agent::testing {

// Accepts connections on a loopback port chosen by the system. The test reads the received bytes
// and writes arbitrary answers. Runs on the test's loop.
class ScriptedEndpoint {
 public:
  explicit ScriptedEndpoint(event_base* loop);
  ~ScriptedEndpoint();
  ScriptedEndpoint(const ScriptedEndpoint&) = delete;
  ScriptedEndpoint& operator=(const ScriptedEndpoint&) = delete;

  base::SocketAddress Address() const { return address_; }

  // Connections accepted so far.
  std::size_t Count() const { return connections_.size(); }
  // All bytes received on a connection.
  const std::string& Received(std::size_t index) const { return connections_.at(index)->received; }
  bool IsClosed(std::size_t index) const { return connections_.at(index)->is_closed; }
  void Send(std::size_t index, std::string_view text);
  // Bytes not yet written to the socket.
  std::size_t Unsent(std::size_t index) const;
  void Close(std::size_t index);
  // Stops reading, so that the client's writes block.
  void StopReading(std::size_t index);
  // Closes the listener: further connections are refused.
  void Refuse() { listener_.reset(); }

 private:
  struct Connection {
    bufferevent* buffered = nullptr;
    std::string received;
    bool is_closed = false;
  };
  struct ListenerDeleter {
    void operator()(evconnlistener* listener) const { evconnlistener_free(listener); }
  };

  std::unique_ptr<evconnlistener, ListenerDeleter> listener_;
  base::SocketAddress address_;
  std::vector<std::unique_ptr<Connection>> connections_;
};

// Runs the loop until `is_done` returns true. There is no time-out here; the time limit of the test
// run ends a hanging test.
void RunUntil(event_base* loop, const std::function<bool()>& is_done);

}  // namespace gaugevalve::agent::testing
