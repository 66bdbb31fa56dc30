// What an application sees of the requests that an Http3Server receives.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>

#include "gaugevalve/quic/datagram_sink.h"
#include "gaugevalve/quic/http.h"

namespace gaugevalve::quic {

// The answering side of one request. Owned by the server and valid until the request's handler is
// told OnCancelled() or destroyed. May be called from within the handler's methods and between
// calls of the server; what is written is sent at the server's next Flush(). Not thread-safe.
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;

  // Sends the head of the answer. Once, before any body.
  virtual void SendHead(const ResponseHead& head) = 0;

  // Queues body bytes. Returns false when the queue is at its high-water mark: the bytes are taken,
  // but the caller should wait for OnWritable() before writing more.
  virtual bool WriteBody(std::span<const std::uint8_t> bytes) = 0;

  // Ends the answer: what was written is the whole of it.
  virtual void Finish() = 0;

  // Ends the answer short, so that the caller can't take it for whole. kRequestRejected must only
  // be given when nothing of the request was processed.
  virtual void Reset(Http3Error error) = 0;

  // Gives the caller credit to send as many more body bytes. Every byte given to OnBody() has to be
  // consumed in the end, or the caller stops.
  virtual void ConsumeBody(std::size_t bytes) = 0;
};

// The application's side of one request, made by a RequestHandlerFactory. The server owns it, and
// destroys it when the answer has been acknowledged as a whole, or after OnCancelled(). A method
// that throws ends the connection with an internal error.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;

  // A part of the request's body. The bytes are valid during the call only.
  virtual void OnBody(std::span<const std::uint8_t> bytes) = 0;

  // The request is whole.
  virtual void OnBodyEnd() = 0;

  // The queue has room again after WriteBody() returned false.
  virtual void OnWritable() = 0;

  // The caller gave the request up, or its connection is gone. The writer must not be used any
  // more.
  virtual void OnCancelled(Http3Error error) = 0;
};

// Makes the handler of each request. Not owned by the server; must outlive it.
class RequestHandlerFactory {
 public:
  virtual ~RequestHandlerFactory() = default;

  // A request's head has come. Returns its handler, never null.
  virtual std::unique_ptr<RequestHandler> OnRequest(const RequestHead& head, const Path& path,
                                                    ResponseWriter& writer) = 0;
};

}  // namespace gaugevalve::quic
