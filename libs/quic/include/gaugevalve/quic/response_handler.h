// What an application sees of the answers that an Http3Client receives.
#pragma once

#include <cstdint>
#include <span>

#include "gaugevalve/quic/http.h"

namespace gaugevalve::quic {

// Why a request got no whole answer.
struct RequestFailure {
  enum class Kind : std::uint8_t {
    kReset,           // the server ended the stream short; `error` is its code
    kConnectionLost,  // the connection ended first; whether the request ran is not known
  };

  Kind kind = Kind::kConnectionLost;
  Http3Error error = Http3Error::kInternalError;

  // True when the server says that nothing of the request was processed.
  bool WasNotRun() const { return kind == Kind::kReset && error == Http3Error::kRequestRejected; }
};

// The application's side of one request of an Http3Client, which owns it and destroys it after
// OnEnd(), OnFailed() or Cancel(). Exactly one of OnEnd() and OnFailed() is called unless the
// request is cancelled or the client destroyed.
class ResponseHandler {
 public:
  virtual ~ResponseHandler() = default;

  // The head of the answer; informational ones (1xx) are left out.
  virtual void OnHead(const ResponseHead& head) = 0;

  // A part of the answer's body. The bytes are valid during the call only.
  virtual void OnBody(std::span<const std::uint8_t> bytes) = 0;

  // The answer is whole.
  virtual void OnEnd() = 0;

  // There will be no whole answer.
  virtual void OnFailed(const RequestFailure& failure) = 0;

  // The queue of a streamed request body has room again after WriteBody() returned false.
  virtual void OnWritable() {}
};

}  // namespace gaugevalve::quic
