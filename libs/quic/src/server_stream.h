// One request at the server.
#pragma once

#include <memory>

#include "gaugevalve/quic/request_handler.h"
#include "stream.h"

namespace gaugevalve::quic {

class ServerConnection;

// Joins a request's handler with its stream: what arrives goes to the handler, and the handler's
// writer is the stream itself.
class ServerStream final : public Stream, public ResponseWriter {
 public:
  ServerStream(ServerConnection& connection, std::int64_t id, std::size_t high_water,
               std::size_t max_header_section);

  // ResponseWriter
  void SendHead(const ResponseHead& head) override;
  bool WriteBody(std::span<const std::uint8_t> bytes) override;
  void Finish() override;
  void Reset(Http3Error error) override;
  void ConsumeBody(std::size_t bytes) override;

  // Stream
  void OnHeaders() override;
  void OnData(std::span<const std::uint8_t> bytes) override;
  void OnEnd() override;
  void OnPeerReset(std::uint64_t error) override;
  void OnPeerStopSending(std::uint64_t error) override;
  void OnConnectionLost() override;
  void OnWritable() override;

 private:
  void Cancel(std::uint64_t error);

  ServerConnection& server_connection_;
  std::size_t max_header_section_;
  std::unique_ptr<RequestHandler> handler_;
  bool is_request_whole_ = false;
  bool is_finished_ = false;  // Finish() or Reset() was called
  bool is_ended_ = false;     // cancelled, reset or cut: the writer does nothing any more
};

}  // namespace gaugevalve::quic
