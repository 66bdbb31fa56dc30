// Incremental parser for an endpoint's HTTP/1.1 answer (RFC 9112).
#pragma once

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "gaugevalve/quic/http.h"

namespace gaugevalve::agent {

// Receives the parsed parts. Its methods may stop the parser by Http1ResponseParser::Pause().
class Http1ResponseSink {
 public:
  virtual ~Http1ResponseSink() = default;

  // The head of the answer, names in lower case, without the fields that concern one connection
  // only (RFC 9110, section 7.6.1). Informational answers (1xx) are skipped.
  virtual void OnResponseHead(const quic::ResponseHead& head) = 0;

  // A part of the body; valid during the call.
  virtual void OnResponseBody(std::span<const std::uint8_t> bytes) = 0;
};

// Parses one answer with the http-parser library. Answers that end with their connection only
// (neither Content-Length nor chunked) are malformed here: a complete answer can't be told from a
// truncated one.
class Http1ResponseParser {
 public:
  enum class State : std::uint8_t {
    kReading,    // more bytes are needed
    kPaused,     // Pause() was called: pass the rest again later
    kComplete,   // the answer is complete; unconsumed bytes belong to no answer
    kMalformed,  // see ErrorDetail()
  };

  // `sink` must outlive the parser. `is_head_request` says that the answer has no body whatever its
  // head says.
  Http1ResponseParser(Http1ResponseSink& sink, bool is_head_request);
  Http1ResponseParser(const Http1ResponseParser&) = delete;
  Http1ResponseParser& operator=(const Http1ResponseParser&) = delete;

  // Parses bytes and returns how many were consumed. Must not be called once the answer is complete
  // or malformed.
  std::size_t Parse(std::span<const std::uint8_t> bytes);

  // Makes Parse() return early; callable from the sink's methods.
  void Pause();
  void Resume();

  State GetState() const { return state_; }

  // True once any byte of an answer has been seen.
  bool HasBegun() const { return has_begun_; }

  // Once the answer is complete: returns whether the endpoint keeps the connection open.
  bool KeepsConnection() const { return keeps_connection_; }

  // Why the answer is malformed, for logs.
  const std::string& ErrorDetail() const { return error_detail_; }

 private:
  struct Callbacks;

  void AddName(std::string_view text);
  void AddValue(std::string_view text);
  void FinishField();
  int FinishHead();
  int FinishMessage();
  int Fail(std::string fault);

  Http1ResponseSink& sink_;
  bool is_head_request_;
  http_parser parser_{};
  State state_ = State::kReading;
  bool has_begun_ = false;
  bool is_in_trailer_ = false;
  bool keeps_connection_ = false;
  bool last_was_value_ = false;
  quic::HeaderField field_;
  quic::HeaderFields fields_;
  std::string error_detail_;
};

}  // namespace gaugevalve::agent
