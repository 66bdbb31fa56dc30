// One request stream of a connection, as both ends see it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

#include "gaugevalve/quic/http.h"
#include "send_buffer.h"

namespace gaugevalve::quic {

class Connection;

// The pseudo-header fields and fields of a message as they come in.
struct HeaderBlock {
  RequestHead request;   // the request's pseudo-header fields; `fields` of both kinds of message
  int status = 0;        // answers only
  std::size_t size = 0;  // bytes of names and values, with RFC 9114's 32 for each field
};

// Holds the sending queue and the receiving credit of a stream, and turns what arrives into calls
// of its heirs. Owned by its Connection; every method is called on the connection's thread.
class Stream {
 public:
  Stream(Connection& connection, std::int64_t id, std::size_t high_water);
  virtual ~Stream() = default;
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  std::int64_t Id() const { return id_; }
  SendBuffer& Output() { return send_buffer_; }
  const SendBuffer& Output() const { return send_buffer_; }
  HeaderBlock& Headers() { return header_block_; }

  // Queues body bytes; false at the high-water mark.
  bool Write(std::span<const std::uint8_t> bytes);
  // Ends the body.
  void EndWrite();
  // What HTTP/3 has given out of the end, once all bytes before it were taken.
  enum class EndState : std::uint8_t {
    kNotReached,
    kWaiting,  // offered to QUIC, which had no room
    kSent,     // QUIC has taken it
  };
  void SetEndState(EndState state) { end_state_ = state; }
  EndState GetEndState() const { return end_state_; }
  // Keeps back that the peer has `bytes` more of the stream, while its end waits.
  void WithholdAcknowledgement(std::uint64_t bytes) { withheld_ += bytes; }
  // Returns what was kept back and forgets it.
  std::uint64_t TakeWithheld();
  // Gives credit for body bytes that the application is done with.
  void Consume(std::size_t bytes);
  // Takes note of body bytes that the application has not consumed yet.
  void AddUnconsumed(std::size_t bytes) { unconsumed_ += bytes; }
  // Returns the credit still owed to the connection and forgets it.
  std::size_t TakeUnconsumed();
  // The peer has `bytes` more of the body.
  void Acknowledge(std::size_t bytes);

  // What arrives. Each is called at most once but OnData().
  virtual void OnHeaders() = 0;  // Headers() is complete
  virtual void OnData(std::span<const std::uint8_t> bytes) = 0;
  virtual void OnEnd() = 0;
  virtual void OnPeerReset(std::uint64_t error) = 0;
  virtual void OnPeerStopSending(std::uint64_t error) = 0;
  virtual void OnConnectionLost() = 0;
  virtual void OnWritable() = 0;

 protected:
  Connection& Owner() { return connection_; }

 private:
  Connection& connection_;
  std::int64_t id_;
  std::size_t high_water_;
  SendBuffer send_buffer_;
  HeaderBlock header_block_;
  std::size_t unconsumed_ = 0;
  bool wants_writable_ = false;
  EndState end_state_ = EndState::kNotReached;
  std::uint64_t withheld_ = 0;  // acknowledged bytes that HTTP/3 doesn't know of yet
};

}  // namespace gaugevalve::quic
