// An Http3Client on a UDP socket of its own, driven by a libevent loop.
#pragma once

#include <event2/event.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>

#include "gaugevalve/base/clock.h"
#include "gaugevalve/quic/http3_client.h"

namespace gaugevalve::quic {

// Owns the socket, the timer and the client. All its calls and callbacks are on the loop's thread.
// Must not be destroyed from within its own callbacks.
class UdpClient final : public DatagramSink {
 public:
  // Binds to a port the system chooses; options.path.local is ignored. `base`, `clock` and `events`
  // must outlive the client. Throws std::system_error when there is no socket to be had.
  UdpClient(event_base* base, const base::Clock& clock, Http3ClientOptions options,
            ClientEvents& events);
  ~UdpClient() override;
  UdpClient(const UdpClient&) = delete;
  UdpClient& operator=(const UdpClient&) = delete;

  // Starts the handshake; see ClientEvents for how it goes on.
  void Connect();

  // Goes on from another local port, as behind an address translator that lost its state. Returns
  // false when the connection can't migrate now. Throws std::system_error as above.
  bool Rebind();

  // Closes the connection and tells the server.
  void Close();

  // To submit requests. What is submitted is sent when the loop next runs.
  Http3Client& Client() { return *client_; }

  // DatagramSink
  void SendDatagram(const Path& path, std::span<const std::uint8_t> payload) override;
  void RequestFlush() override;

 private:
  class Socket;

  void Receive();
  void UpdateTimer();

  struct EventDeleter {
    void operator()(event* event) const { event_free(event); }
  };
  using EventPointer = std::unique_ptr<event, EventDeleter>;

  event_base* base_;
  const base::Clock& clock_;
  std::unique_ptr<Socket> socket_;
  EventPointer readable_;
  EventPointer timer_;
  EventPointer flush_;
  std::unique_ptr<Http3Client> client_;
};

}  // namespace gaugevalve::quic
