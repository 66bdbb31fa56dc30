#include "http1_response_parser.h"

#include <cctype>
#include <limits>
#include <utility>

#include "connection_fields.h"

namespace gaugevalve::agent {
namespace {

constexpr int kFirstFinalStatus = 200;
constexpr int kSwitchingProtocols = 101;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr std::size_t kMaxFields = 200;
constexpr int kSkipBody = 1;  // return value of on_headers_complete, defined by http-parser

constexpr std::uint64_t kNoLength = std::numeric_limits<std::uint64_t>::max();

void AppendLowerCase(std::string& name, std::string_view text) {
  for (const char character : text) {
    name.push_back(static_cast<char>(std::tolower(static_cast<unsigned char>(character))));
  }
}

}  // namespace

struct Http1ResponseParser::Callbacks {
  static Http1ResponseParser& Of(http_parser* parser) {
    return *static_cast<Http1ResponseParser*>(parser->data);
  }

  static http_parser_settings Make() {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_message_begin = [](http_parser* parser) {
      Of(parser).has_begun_ = true;
      return 0;
    };
    settings.on_header_field = [](http_parser* parser, const char* text, std::size_t length) {
      Of(parser).AddName({text, length});
      return 0;
    };
    settings.on_header_value = [](http_parser* parser, const char* text, std::size_t length) {
      Of(parser).AddValue({text, length});
      return 0;
    };
    settings.on_headers_complete = [](http_parser* parser) { return Of(parser).FinishHead(); };
    settings.on_body = [](http_parser* parser, const char* data, std::size_t length) {
      const auto* bytes = reinterpret_cast<const std::uint8_t*>(data);
      Of(parser).sink_.OnResponseBody({bytes, length});
      return 0;
    };
    settings.on_message_complete = [](http_parser* parser) { return Of(parser).FinishMessage(); };
    return settings;
  }
};

Http1ResponseParser::Http1ResponseParser(Http1ResponseSink& sink, bool is_head_request)
    : sink_(sink), is_head_request_(is_head_request) {
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
}

std::size_t Http1ResponseParser::Parse(std::span<const std::uint8_t> bytes) {
  static const http_parser_settings settings = Callbacks::Make();
  if (state_ != State::kReading || bytes.empty()) {
    return 0;
  }
  const std::size_t consumed = http_parser_execute(
      &parser_, &settings, reinterpret_cast<const char*>(bytes.data()), bytes.size());
  const http_errno error = HTTP_PARSER_ERRNO(&parser_);
  if (error != HPE_OK && error != HPE_PAUSED && state_ == State::kReading) {
    Fail(http_errno_description(error));
  }
  return consumed;
}

void Http1ResponseParser::Pause() {
  if (state_ == State::kReading) {
    state_ = State::kPaused;
    http_parser_pause(&parser_, 1);
  }
}

void Http1ResponseParser::Resume() {
  if (state_ == State::kPaused) {
    state_ = State::kReading;
    http_parser_pause(&parser_, 0);
  }
}

void Http1ResponseParser::AddName(std::string_view text) {
  if (std::exchange(last_was_value_, false)) {
    FinishField();
  }
  AppendLowerCase(field_.name, text);
}

void Http1ResponseParser::AddValue(std::string_view text) {
  last_was_value_ = true;
  field_.value.append(text);
}

void Http1ResponseParser::FinishField() {
  quic::HeaderField field = std::exchange(field_, {});
  // Trailer fields are dropped: nothing here needs them, and RFC 9110, section 6.5.1, allows
  // intermediaries to drop them.
  if (!is_in_trailer_ && !field.name.empty() && !IsConnectionField(field.name) &&
      fields_.size() <= kMaxFields) {
    fields_.push_back(std::move(field));
  }
}

int Http1ResponseParser::FinishHead() {
  FinishField();
  last_was_value_ = false;
  const int status = static_cast<int>(parser_.status_code);
  if (status == kSwitchingProtocols) {
    return Fail("the endpoint switched to another protocol");
  }
  if (status < kFirstFinalStatus) {
    fields_.clear();
    return 0;
  }
  if (fields_.size() > kMaxFields) {
    return Fail("too many header fields");
  }
  is_in_trailer_ = true;
  const bool has_no_body = is_head_request_ || status == kNoContent || status == kNotModified;
  const bool is_framed =
      (parser_.flags & F_CHUNKED) != 0 || parser_.content_length != kNoLength || has_no_body;
  if (!is_framed) {
    return Fail("neither Content-Length nor chunked: a truncated answer could not be detected");
  }
  sink_.OnResponseHead({status, std::exchange(fields_, {})});
  return is_head_request_ ? kSkipBody : 0;
}

int Http1ResponseParser::FinishMessage() {
  if (static_cast<int>(parser_.status_code) < kFirstFinalStatus) {
    return 0;  // the final answer follows
  }
  keeps_connection_ = http_should_keep_alive(&parser_) != 0;
  state_ = State::kComplete;
  http_parser_pause(&parser_, 1);  // bytes that follow must not be parsed as a second answer
  return 0;
}

int Http1ResponseParser::Fail(std::string fault) {
  state_ = State::kMalformed;
  error_detail_ = std::move(fault);
  return -1;
}

}  // namespace gaugevalve::agent
