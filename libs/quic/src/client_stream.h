// One request at the client.
#pragma once

#include <memory>

#include "gaugevalve/quic/response_handler.h"
#include "stream.h"

namespace gaugevalve::quic {

// Joins an answer's handler with its stream.
class ClientStream final : public Stream {
 public:
  ClientStream(Connection& connection, std::int64_t id, std::size_t high_water,
               std::unique_ptr<ResponseHandler> handler);

  // The application gives the request up: its handler hears no more.
  void Abandon() { is_ended_ = true; }
  // Holds back, or gives, the credit for answer bytes.
  void Pause(bool paused);

  void OnHeaders() override;
  void OnData(std::span<const std::uint8_t> bytes) override;
  void OnEnd() override;
  void OnPeerReset(std::uint64_t error) override;
  void OnPeerStopSending(std::uint64_t error) override;
  void OnConnectionLost() override;
  void OnWritable() override;

 private:
  void FailWith(const RequestFailure& failure);

  std::unique_ptr<ResponseHandler> handler_;
  std::size_t held_back_ = 0;
  bool is_paused_ = false;
  bool is_ended_ = false;
};

}  // namespace gaugevalve::quic
