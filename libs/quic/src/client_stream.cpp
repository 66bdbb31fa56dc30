#include "client_stream.h"

#include <utility>

#include "connection.h"

namespace gaugevalve::quic {
namespace {

constexpr int kFirstFinalStatus = 200;

}  // namespace

ClientStream::ClientStream(Connection& connection, std::int64_t id, std::size_t high_water,
                           std::unique_ptr<ResponseHandler> handler)
    : Stream(connection, id, high_water), handler_(std::move(handler)) {}

void ClientStream::Pause(bool paused) {
  is_paused_ = paused;
  if (!paused) {
    Consume(std::exchange(held_back_, 0));
  }
}

void ClientStream::OnHeaders() {
  if (is_ended_ || Headers().status < kFirstFinalStatus) {
    return;
  }
  handler_->OnHead({Headers().status, std::exchange(Headers().request.fields, {})});
}

void ClientStream::OnData(std::span<const std::uint8_t> bytes) {
  if (is_paused_) {
    held_back_ += bytes.size();
  } else {
    Consume(bytes.size());
  }
  if (!is_ended_) {
    handler_->OnBody(bytes);
  }
}

void ClientStream::OnEnd() {
  if (!std::exchange(is_ended_, true)) {
    handler_->OnEnd();
  }
}

void ClientStream::OnPeerReset(std::uint64_t error) {
  FailWith({RequestFailure::Kind::kReset, static_cast<Http3Error>(error)});
}

// The server wants no more of the request's body; its answer may still come.
void ClientStream::OnPeerStopSending(std::uint64_t) {}

void ClientStream::OnConnectionLost() {
  FailWith({RequestFailure::Kind::kConnectionLost, Http3Error::kNoError});
}

void ClientStream::OnWritable() {
  if (!is_ended_) {
    handler_->OnWritable();
  }
}

void ClientStream::FailWith(const RequestFailure& failure) {
  if (std::exchange(is_ended_, true)) {
    return;
  }
  Owner().ResetStream(Id(), Http3Error::kRequestCancelled);
  handler_->OnFailed(failure);
}

}  // namespace gaugevalve::quic
