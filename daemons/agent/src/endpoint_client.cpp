#include "endpoint_client.h"

#include <algorithm>
#include <stdexcept>

#include "endpoint_connection.h"

namespace gaugevalve::agent {

std::string_view ToString(ExchangeFailure::Kind kind) {
  switch (kind) {
    case ExchangeFailure::Kind::kNotSent:
      return "not_sent";
    case ExchangeFailure::Kind::kBroken:
      return "broken";
    case ExchangeFailure::Kind::kCutAnswer:
      return "cut_answer";
    case ExchangeFailure::Kind::kMalformedAnswer:
      return "malformed_answer";
  }
  return "unknown";
}

EndpointExchange::~EndpointExchange() {
  if (connection_ != nullptr) {
    connection_->Abandon();
  }
}

bool EndpointExchange::WriteBody(std::span<const std::uint8_t> bytes) {
  return connection_ == nullptr || connection_->WriteBody(bytes);
}

void EndpointExchange::FinishBody() {
  if (connection_ != nullptr) {
    connection_->FinishBody();
  }
}

void EndpointExchange::PauseReading() {
  if (connection_ != nullptr) {
    connection_->PauseReading();
  }
}

void EndpointExchange::ResumeReading() {
  if (connection_ != nullptr) {
    connection_->ResumeReading();
  }
}

EndpointClient::EndpointClient(event_base* loop, const base::SocketAddress& endpoint,
                               const EndpointClientOptions& options)
    : loop_(loop),
      endpoint_(endpoint),
      options_(options),
      sweep_timer_(loop, [this] { Sweep(); }) {}

EndpointClient::~EndpointClient() = default;

std::unique_ptr<EndpointExchange> EndpointClient::Start(const quic::RequestHead& head,
                                                        EndpointEvents& events) {
  // Prefers the connection used last: the endpoint may be about to close those idle for longer.
  const auto idle = std::find_if(connections_.rbegin(), connections_.rend(),
                                 [](const auto& connection) { return connection->IsIdle(); });
  if (idle != connections_.rend()) {
    return (*idle)->Begin(head, events);
  }
  if (connections_.size() >= options_.max_connections) {
    return nullptr;
  }
  try {
    connections_.push_back(std::make_unique<EndpointConnection>(*this, loop_, endpoint_, options_));
  } catch (const std::runtime_error&) {  // no file descriptors left; nothing was sent
    return nullptr;
  }
  return connections_.back()->Begin(head, events);
}

std::size_t EndpointClient::IdleCount() const {
  return static_cast<std::size_t>(
      std::count_if(connections_.begin(), connections_.end(),
                    [](const auto& connection) { return connection->IsIdle(); }));
}

void EndpointClient::OnConnectionOver() { sweep_timer_.StartOnce(base::Duration{0}); }

void EndpointClient::Sweep() {
  std::erase_if(connections_, [](const auto& connection) { return connection->IsOver(); });
}

}  // namespace gaugevalve::agent
