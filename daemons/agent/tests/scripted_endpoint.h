// An endpoint whose bytes the test decides.
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

// Accepts connections on a loopback port the system chose; the test reads what came and writes what
// it likes. On the test's loop.
class ScriptedEndpoint {
 public:
  explicit ScriptedEndpoint(event_base* loop);
  ~ScriptedEndpoint();
  ScriptedEndpoint(const ScriptedEndpoint&) = delete;
  ScriptedEndpoint& operator=(const ScriptedEndpoint&) = delete;

  base::SocketAddress Address() const { return address_; }

  // Connections accepted so far.
  std::size_t Count() const { return connections_.size(); }
  // All that has come on a connection.
  const std::string& Received(std::size_t index) const { return connections_.at(index)->received; }
  bool IsClosed(std::size_t index) const { return connections_.at(index)->is_closed; }
  void Send(std::size_t index, std::string_view text);
  // Bytes that wait for the client to read them.
  std::size_t Unsent(std::size_t index) const;
  void Close(std::size_t index);
  // Stops reading, so that the client's writes back up.
  void StopReading(std::size_t index);
  // Takes no more connections.
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

// Runs the loop until `is_done` holds. A test that would hang is ended by the limit on test runs.
void RunUntil(event_base* loop, const std::function<bool()>& is_done);

}  // namespace gaugevalve::agent::testing
