#include "server_stream.h"

#include <stdexcept>
#include <string>
#include <utility>

#include "header_block_writer.h"
#include "server_connection.h"

namespace gaugevalve::quic {

ServerStream::ServerStream(ServerConnection& connection, std::int64_t id, std::size_t high_water,
                           std::size_t max_header_section)
    : Stream(connection, id, high_water),
      server_connection_(connection),
      max_header_section_(max_header_section) {}

void ServerStream::SendHead(const ResponseHead& head) {
  if (is_ended_) {
    return;
  }
  const std::string status = std::to_string(head.status);
  HeaderBlockWriter block;
  block.Add(":status", status);
  block.Add(head.fields);
  const int result = nghttp3_conn_submit_response(Owner().Http(), Id(), block.Lines(), block.size(),
                                                  &Connection::BodyReader());
  if (result != 0) {
    throw std::logic_error(std::string("the head of an answer: ") + nghttp3_strerror(result));
  }
  Owner().ResumeStream(Id());
}

bool ServerStream::WriteBody(std::span<const std::uint8_t> bytes) {
  return !is_ended_ && Write(bytes);
}

void ServerStream::Finish() {
  if (is_ended_ || is_finished_) {
    return;
  }
  is_finished_ = true;
  EndWrite();
  if (!is_request_whole_) {
    Owner().StopReading(Id(), Http3Error::kNoError);
  }
}

void ServerStream::Reset(Http3Error error) {
  if (is_ended_) {
    return;
  }
  is_finished_ = true;
  is_ended_ = true;
  Owner().ResetStream(Id(), error);
}

void ServerStream::ConsumeBody(std::size_t bytes) {
  if (!is_ended_) {
    Consume(bytes);
  }
}

void ServerStream::OnHeaders() {
  if (Headers().size > max_header_section_) {
    Reset(Http3Error::kExcessiveLoad);
    return;
  }
  const RequestHead head = std::exchange(Headers().request, {});
  handler_ = server_connection_.MakeHandler(head, *this);
}

void ServerStream::OnData(std::span<const std::uint8_t> bytes) {
  if (is_ended_ || handler_ == nullptr) {
    Consume(bytes.size());  // nobody else will
    return;
  }
  handler_->OnBody(bytes);
}

void ServerStream::OnEnd() {
  is_request_whole_ = true;
  if (!is_ended_ && handler_ != nullptr) {
    handler_->OnBodyEnd();
  }
}

// The caller sends no more. That ends the request, unless its answer is complete already.
void ServerStream::OnPeerReset(std::uint64_t error) {
  if (!is_finished_) {
    Cancel(error);
  }
}

void ServerStream::OnPeerStopSending(std::uint64_t error) { Cancel(error); }

void ServerStream::OnConnectionLost() {
  if (!std::exchange(is_ended_, true) && handler_ != nullptr) {
    handler_->OnCancelled(Http3Error::kRequestCancelled);
  }
}

void ServerStream::OnWritable() {
  if (!is_ended_ && handler_ != nullptr) {
    handler_->OnWritable();
  }
}

void ServerStream::Cancel(std::uint64_t error) {
  if (std::exchange(is_ended_, true)) {
    return;
  }
  Owner().ResetStream(Id(), Http3Error::kRequestCancelled);
  if (handler_ != nullptr) {
    handler_->OnCancelled(static_cast<Http3Error>(error));
  }
}

}  // namespace gaugevalve::quic
