// A Caller over HTTP/3, as callers of the system are.
#pragma once

#include <event2/event.h>

#include <memory>
#include <string>

#include "caller.h"
#include "gaugevalve/base/clock.h"
#include "gaugevalve/base/socket_address.h"
#include "gaugevalve/quic/udp_client.h"

namespace gaugevalve::callers {

// One connection with any number of requests at once. It is replaced when it ends, after GOAWAY,
// and when kAttemptsToDespair attempts in a row got no answer, as behind an agent that died.
class Http3Caller final : public Caller {
 public:
  static constexpr int kAttemptsToDespair = 2;

  // `loop` and `clock` must outlive this.
  Http3Caller(event_base* loop, const base::Clock& clock, std::string service,
              const base::SocketAddress& address, quic::ClientCredentials credentials);

  void OnTick() override;
  bool IsReady() const override;
  bool Send(const AttemptRequest& request, Done done) override;
  void OnGivenUp() override { ++given_up_in_a_row_; }
  void Close() override;

 private:
  // A connection and what was heard of its end.
  struct Connection final : quic::ClientEvents {
    void OnGoaway() override { is_ending = true; }
    void OnClosed(const quic::ConnectionEnd& /*end*/) override { is_ending = true; }

    bool is_ending = false;
    std::unique_ptr<quic::UdpClient> client;
  };

  bool NeedsReplacement(base::TimePoint now) const;
  void Connect(base::TimePoint now);

  event_base* loop_;
  const base::Clock& clock_;
  std::string service_;
  base::SocketAddress address_;
  quic::ClientCredentials credentials_;
  std::unique_ptr<Connection> connection_;
  std::unique_ptr<Connection> former_;  // finishes what was sent on it, until the next replacement
  base::TimePoint connecting_since_{};
  int given_up_in_a_row_ = 0;
};

}  // namespace gaugevalve::callers
