// The streams of a connection, their flow control and the heads of their messages.
#include <algorithm>
#include <charconv>
#include <string>
#include <string_view>
#include <utility>

#include "connection.h"
#include "native.h"

namespace gaugevalve::quic {
namespace {

constexpr std::size_t kFieldOverhead = 32;  // RFC 9114, section 4.2.2
constexpr int kKeepAlivesInIdleTimeout = 3;

std::string_view TextOf(nghttp3_rcbuf* buffer) {
  const nghttp3_vec bytes = nghttp3_rcbuf_get_buf(buffer);
  return {reinterpret_cast<const char*>(bytes.base), bytes.len};
}

int ParseStatus(std::string_view text) {
  int status = 0;
  std::from_chars(text.data(), text.data() + text.size(), status);
  return status;
}

}  // namespace

int Connection::ReadStream(std::int64_t id, std::span<const std::uint8_t> data, bool is_last) {
  const nghttp3_ssize consumed =
      nghttp3_conn_read_stream(http_.get(), id, data.data(), data.size(), is_last ? 1 : 0);
  if (consumed < 0) {
    return HttpFailure(static_cast<int>(consumed));
  }
  // What is not a body needs no backpressure; body bytes are credited when they are consumed.
  ExtendWindows(id, static_cast<std::size_t>(consumed));
  return 0;
}

void Connection::ExtendWindows(std::int64_t id, std::size_t bytes) {
  if (bytes == 0 || state_ != State::kOpen) {
    return;
  }
  ngtcp2_conn_extend_max_stream_offset(transport_.get(), id, bytes);
  ngtcp2_conn_extend_max_offset(transport_.get(), bytes);
  OnFlushWanted();
}

// A message whose head waits for entries of the QPACK table outlives its QUIC stream: nghttp3 keeps
// it until they come, and only then says that it is over.
int Connection::OnStreamClosed(std::int64_t id, std::uint64_t error) {
  if (ngtcp2_is_bidi_stream(id) != 0 && ngtcp2_conn_is_local_stream(transport_.get(), id) == 0) {
    ngtcp2_conn_extend_max_streams_bidi(transport_.get(), 1);
  }
  const int result = http_ != nullptr ? nghttp3_conn_close_stream(http_.get(), id, error)
                                      : NGHTTP3_ERR_STREAM_NOT_FOUND;
  if (result == NGHTTP3_ERR_STREAM_NOT_FOUND) {
    RemoveStream(id);
    return 0;
  }
  return HttpFailure(result);
}

// nghttp3 queues an end without bytes as an empty entry, and drops it unsent once all bytes before
// it are acknowledged. So it hears of acknowledgements only after QUIC has taken the end.
int Connection::OnAcknowledged(std::int64_t id, std::uint64_t bytes) {
  Stream* stream = FindStream(id);
  if (stream != nullptr && stream->GetEndState() == Stream::EndState::kWaiting) {
    stream->WithholdAcknowledgement(bytes);
    return 0;
  }
  return HttpFailure(nghttp3_conn_add_ack_offset(http_.get(), id, bytes));
}

// Takes note of what QUIC made of an end that HTTP/3 has offered.
int Connection::OnEndOffered(std::int64_t id, bool is_taken) {
  Stream* stream = FindStream(id);
  if (stream == nullptr) {
    return 0;
  }
  stream->SetEndState(is_taken ? Stream::EndState::kSent : Stream::EndState::kWaiting);
  const std::uint64_t withheld = is_taken ? stream->TakeWithheld() : 0;
  return withheld == 0 ? 0 : HttpFailure(nghttp3_conn_add_ack_offset(http_.get(), id, withheld));
}

void Connection::AddStream(std::unique_ptr<Stream> stream) {
  const std::int64_t id = stream->Id();
  streams_[id] = std::move(stream);
  UpdateKeepAlive();
}

Stream* Connection::FindStream(std::int64_t id) {
  const auto found = streams_.find(id);
  return found == streams_.end() ? nullptr : found->second.get();
}

void Connection::RemoveStream(std::int64_t id) {
  const auto found = streams_.find(id);
  if (found == streams_.end()) {
    return;
  }
  ngtcp2_conn_extend_max_offset(transport_.get(), found->second->TakeUnconsumed());
  closed_streams_.push_back(std::move(found->second));
  streams_.erase(found);
  UpdateKeepAlive();
  OnFlushWanted();
}

// A request may wait long for its answer, as event streams do: its connection must not fall idle.
void Connection::UpdateKeepAlive() {
  const bool has_requests = !streams_.empty();
  const base::Duration period =
      has_requests ? limits_.idle_timeout / kKeepAlivesInIdleTimeout : base::Duration{0};
  ngtcp2_conn_set_keep_alive_timeout(transport_.get(), ToNative(period));
}

int Connection::OnHeaderField(std::int64_t id, std::int32_t token, nghttp3_rcbuf* name,
                              nghttp3_rcbuf* value) {
  Stream* stream = FindStream(id);
  if (stream == nullptr) {
    return 0;
  }
  HeaderBlock& block = stream->Headers();
  const std::string_view text = TextOf(value);
  block.size += TextOf(name).size() + text.size() + kFieldOverhead;
  if (block.size > limits_.max_header_section) {
    return 0;  // the heir refuses it when the head is complete
  }
  switch (token) {
    case NGHTTP3_QPACK_TOKEN__METHOD:
      block.request.method = text;
      return 0;
    case NGHTTP3_QPACK_TOKEN__SCHEME:
      block.request.scheme = text;
      return 0;
    case NGHTTP3_QPACK_TOKEN__AUTHORITY:
      block.request.authority = text;
      return 0;
    case NGHTTP3_QPACK_TOKEN__PATH:
      block.request.path = text;
      return 0;
    case NGHTTP3_QPACK_TOKEN__STATUS:
      block.status = ParseStatus(text);
      return 0;
    default:
      block.request.fields.push_back({std::string(TextOf(name)), std::string(text)});
      return 0;
  }
}

void Connection::AddWaitingOutputs(std::vector<StreamOutput>& outputs) const {
  if (state_ != State::kOpen) {
    return;
  }
  ngtcp2_conn_stat statistics{};
  ngtcp2_conn_get_conn_stat(transport_.get(), &statistics);
  for (const auto& [id, stream] : streams_) {
    const SendBuffer& buffer = stream->Output();
    if (buffer.size() == 0 && !buffer.IsEnded()) {
      continue;
    }
    StreamOutput output;
    output.remote = FromNative(*ngtcp2_conn_get_path(transport_.get())).remote;
    output.stream = id;
    output.acknowledged = buffer.AcknowledgedCount();
    output.waiting = buffer.size();
    output.untaken = buffer.UntakenSize();
    output.is_ended = buffer.IsEnded();
    output.is_end_sent = stream->GetEndState() == Stream::EndState::kSent;
    output.is_writable = nghttp3_conn_is_stream_writable(http_.get(), id) != 0;
    output.stream_window = ngtcp2_conn_get_max_stream_data_left(transport_.get(), id);
    output.congestion_room = ngtcp2_conn_get_cwnd_left(transport_.get());
    output.in_flight = statistics.bytes_in_flight;
    outputs.push_back(output);
  }
}

void Connection::ResumeStream(std::int64_t id) {
  resumed_streams_.push_back(id);
  OnFlushWanted();
}

void Connection::ResetStream(std::int64_t id, Http3Error error) {
  stream_actions_.push_back({id, error, true});
  OnFlushWanted();
}

void Connection::StopReading(std::int64_t id, Http3Error error) {
  stream_actions_.push_back({id, error, false});
  OnFlushWanted();
}

void Connection::ApplyStreamActions() {
  for (const StreamAction& action : std::exchange(stream_actions_, {})) {
    const auto code = static_cast<std::uint64_t>(action.error);
    if (action.resets_writing) {
      ngtcp2_conn_shutdown_stream_write(transport_.get(), action.id, code);
      if (http_ != nullptr) {
        nghttp3_conn_shutdown_stream_write(http_.get(), action.id);
      }
    }
    ngtcp2_conn_shutdown_stream_read(transport_.get(), action.id, code);
  }
  for (const std::int64_t id : std::exchange(resumed_streams_, {})) {
    if (http_ != nullptr) {
      nghttp3_conn_resume_stream(http_.get(), id);
    }
  }
}

}  // namespace gaugevalve::quic
